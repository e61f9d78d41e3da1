import tseslint from 'typescript-eslint';

const noClasses = {
  selector: 'ClassDeclaration, ClassExpression',
  message: 'Use a factory function that closes over its state.',
};

const uncheckedConnections = {
  name: 'undici',
  importNames: ['Agent', 'Client', 'Pool', 'fetch'],
  message: 'Use connections that check answers, createChecked...',
};

const noAmbientInputs = [
  {object: 'Math', property: 'random', message: 'Take a seed as an input.'},
  {object: 'Date', property: 'now', message: 'Take the time as an input.'},
  {
    object: 'performance',
    property: 'now',
    message: 'Take the time as an input.',
  },
];

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/node_modules/**',
      'packages/wire/src/generated/**',
    ],
  },
  ...tseslint.configs.recommended,
  {
    // The launcher of compiled code is CommonJS, as the code that it loads.
    files: ['**/*.cjs'],
    rules: {'@typescript-eslint/no-require-imports': 'off'},
  },
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {projectService: true}},
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      'no-restricted-syntax': ['error', noClasses],
      'no-restricted-exports': [
        'error',
        {restrictDefaultExports: {direct: true}},
      ],
      'prefer-const': 'error',
      eqeqeq: ['error', 'always'],
      curly: ['error', 'multi-line'],
    },
  },
  {
    files: ['packages/core/src/**/*.ts'],
    rules: {'no-restricted-properties': ['error', ...noAmbientInputs]},
  },
  {
    files: [
      'packages/{daemon,fleet,hibiscusbeam,platform}/src/**/*.ts',
      'platform/**/*.ts',
    ],
    ignores: ['packages/platform/src/node/checked_connections.ts'],
    rules: {
      'no-restricted-imports': ['error', {paths: [uncheckedConnections]}],
    },
  },
  {files: ['vitest.config.ts'], rules: {'no-restricted-exports': 'off'}},
);
