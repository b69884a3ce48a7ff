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
    // Named exports only: a thing has the same name in every file that uses it.
    'import/prefer-default-export': 'off',
    // Reducers own their state and update it in place (docs/DESIGN.md).
    'no-param-reassign': ['error', { props: false }],
    // Node runs for...of natively; hot paths need its early exit without a closure.
    'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
    'import/no-extraneous-dependencies': [
      'error',
      { devDependencies: ['**/*.test.ts', 'fuzz/**', 'crowds/**', 'vitest.config.ts'] },
    ],
  },
  overrides: [
    {
      files: ['src/**/*.ts'],
      rules: {
        'import/no-restricted-paths': [
          'error',
          { zones: [{ target: './src', from: './platform', message: 'src must not import from platform.' }] },
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
              { group: ['node:*', 'ws', 'js-csp', 'consola', 'prom-client'], message: 'src/common must not perform I/O.' },
              { group: ['../entry/*', '../control/*', '../runtime/*', '../ctl/*', '../bin/*'], message: 'src/common must not import the folders that build on it.' },
            ],
          },
        ],
        'no-restricted-globals': ['error', 'process', 'setTimeout', 'setInterval', 'fetch'],
        'no-restricted-properties': [
          'error',
          { object: 'Date', property: 'now', message: 'Take the time from the event.' },
          { object: 'Math', property: 'random', message: 'Take random numbers from the source in the options.' },
        ],
      },
    },
  ],
};
