/** The sum of the numbers; 0 if there are none. */
export function sumOf(numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0);
}
