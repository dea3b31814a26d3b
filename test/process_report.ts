import {afterEach, onTestFailed} from 'vitest';

/** Anything that runs processes for a test. */
export interface ProcessOwner {
  /** Describes what the processes printed and how they ended. */
  describeProcesses(): string;
}

/** Prints the processes of each test of this file that fails. */
export function reportFailedTests(
  currentOwner: () => ProcessOwner | undefined,
): void {
  afterEach(({task}) => {
    if (task.result?.state !== 'fail') return;
    console.error(currentOwner()?.describeProcesses());
  });
}

/** Prints the processes of the current test if it fails. */
export function reportIfTestFails(owner: ProcessOwner): void {
  onTestFailed(() => console.error(owner.describeProcesses()));
}
