/** Adds numbers up; 0 for none. */
export function sumOf(numbers: readonly number[]): number {
  return numbers.reduce((sum, one) => sum + one, 0);
}
