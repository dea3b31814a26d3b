import tseslint from 'typescript-eslint';

/** Programs must not import from each other. */
const PROGRAMS = ['proxy', 'control', 'ctl', 'standin', 'load'];
/** Each layer may import only from the layers before it. */
const LAYERS = ['base', 'schema', 'services'];

/** The adapter of one platform, on which the product must not depend. */
const ADAPTER = 'platform';

const forbidImportsFrom = folders =>
  [...folders, ADAPTER].map(folder => ({
    regex: `(^|/)${folder}/(common|node|generated)?`,
    message: `This layer must not import from ${folder}.`,
  }));

const layerRule = (files, folders) => ({
  files: [files],
  ignores: ['**/test/**'],
  rules: {
    'no-restricted-imports': ['error', {patterns: forbidImportsFrom(folders)}],
  },
});

const PURE_PATTERNS = [
  {regex: '^node:', message: 'common/ must not use sockets, files or clocks.'},
  {regex: '/node/', message: 'common/ must not import from node/.'},
  {regex: '^@grpc/', message: 'common/ must not use sockets.'},
  {regex: '^js-csp$', message: 'common/ must not run tasks.'},
];

export default tseslint.config(
  {
    ignores: [
      'dist',
      'target',
      '.scratch',
      'src/schema/generated',
      'node_modules',
    ],
  },
  ...tseslint.configs.recommended,
  {
    rules: {
      'no-var': 'error',
      'prefer-const': 'error',
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
      'max-lines': ['error', {max: 520, skipBlankLines: true}],
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: ['variable', 'function', 'parameter', 'classMethod'],
          format: ['camelCase', 'UPPER_CASE'],
          leadingUnderscore: 'forbid',
        },
      ],
      '@typescript-eslint/no-unused-vars': ['error', {args: 'after-used'}],
    },
  },
  {
    files: ['eslint.config.mjs', 'vitest.config.ts', '**/*.d.ts'],
    rules: {'no-restricted-syntax': 'off'},
  },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    ignores: ['**/test/**', 'src/schema/generated/**'],
    languageOptions: {parserOptions: {projectService: true}},
    rules: {
      // A promise that nobody waits for needs `detach` or a handler.
      '@typescript-eslint/no-floating-promises': ['error', {ignoreVoid: false}],
    },
  },
  layerRule('src/base/**', [...LAYERS.slice(1), ...PROGRAMS]),
  layerRule('src/schema/**', ['services', ...PROGRAMS]),
  layerRule('src/services/**', PROGRAMS),
  ...PROGRAMS.map(program =>
    layerRule(
      `src/${program}/**`,
      PROGRAMS.filter(name => name !== program),
    ),
  ),
  {
    files: ['src/**/common/**'],
    ignores: ['**/test/**'],
    rules: {
      '@typescript-eslint/no-restricted-imports': [
        'error',
        {patterns: PURE_PATTERNS},
      ],
    },
  },
);
