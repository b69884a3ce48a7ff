module.exports = {
  root: true,
  env: { node: true, es2022: true },
  extends: ['airbnb-base', 'airbnb-typescript/base', 'prettier'],
  parserOptions: { project: './tsconfig.json', tsconfigRootDir: __dirname },
  ignorePatterns: ['dist', 'node_modules', '*.cjs', '*.config.ts'],
  rules: {
    // TypeScript resolves ".js" specifiers of ES modules itself.
    'import/extensions': 'off',
    'import/no-unresolved': 'off',
    // Named exports only: one name for a thing in every file that uses it.
    'import/prefer-default-export': 'off',
    // Reducers own their state and update it in place (docs/DESIGN.md).
    'no-param-reassign': ['error', { props: false }],
    // Node runs for...of natively; hot paths need its early exit without a closure.
    'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
    'import/no-extraneous-dependencies': [
      'error',
      { devDependencies: ['**/*.test.ts', 'fuzz/**', 'vitest.config.ts'] },
    ],
  },
  overrides: [
    {
      files: ['src/**/*.ts'],
      rules: {
        'import/no-restricted-paths': [
          'error',
          { zones: [{ target: './src', from: './platform', message: 'The product knows no provider.' }] },
        ],
      },
    },
    {
      // Commands of one topic share a file; each is a declaration of options and output.
      files: ['src/ctl/*Commands.ts'],
      rules: { 'max-classes-per-file': 'off' },
    },
    {
      files: ['src/common/**/*.ts'],
      excludedFiles: ['**/*.test.ts'],
      rules: {
        'no-restricted-imports': [
          'error',
          {
            patterns: [
              { group: ['node:*', 'ws', 'js-csp', 'consola', 'prom-client'], message: 'src/common is pure: no I/O.' },
              { group: ['../entry/*', '../control/*', '../runtime/*', '../ctl/*', '../bin/*'], message: 'src/common imports no platform folder.' },
            ],
          },
        ],
        'no-restricted-globals': ['error', 'process', 'setTimeout', 'setInterval', 'fetch'],
        'no-restricted-properties': [
          'error',
          { object: 'Date', property: 'now', message: 'Time arrives in events.' },
          { object: 'Math', property: 'random', message: 'Randomness arrives in options.' },
        ],
      },
    },
  ],
};
