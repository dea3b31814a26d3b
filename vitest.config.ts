import {defineConfig} from 'vitest/config';

export default defineConfig({
  test: {
    include: [
      'src/**/test/**/*.test.ts',
      'platform/test/**/*.test.ts',
      'test/**/*.test.ts',
    ],
    globalSetup: ['test/build_programs.ts'],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    // Process tests start many programs each, so few files run at once.
    maxWorkers: 3,
  },
});
