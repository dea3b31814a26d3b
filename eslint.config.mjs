import tseslint from 'typescript-eslint';

/** Imports of a layer may only go to the layers named before it. */
const PROGRAMS = ['proxy', 'control', 'ctl', 'standin', 'load'];
const LAYERS = ['base', 'schema', 'services'];

/** The adapter of one platform: nothing of the product may know its names. */
const ADAPTER = 'platform';

const forbid = folders =>
  [...folders, ADAPTER].map(folder => ({
    regex: `(^|/)${folder}/(common|node|generated)?`,
    message: `This layer must not import from ${folder}.`,
  }));

const layerRule = (files, folders) => ({
  files: [files],
  ignores: ['**/test/**'],
  rules: {
    'no-restricted-imports': ['error', {patterns: forbid(folders)}],
  },
});

const PURE_PATTERNS = [
  {regex: '^node:', message: 'common/ is pure: no sockets, files or clocks.'},
  {regex: '/node/', message: 'common/ must not import from node/.'},
  {regex: '^@grpc/', message: 'common/ is pure: no sockets.'},
  {regex: '^js-csp$', message: 'common/ is pure: no tasks.'},
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
  layerRule('src/base/**', [...LAYERS.slice(1), ...PROGRAMS]),
  layerRule('src/schema/**', ['services', ...PROGRAMS]),
  layerRule('src/services/**', PROGRAMS),
  ...PROGRAMS.map(program =>
    layerRule(
      `src/${program}/**`,
      PROGRAMS.filter(other => other !== program),
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
