import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

// docs/STYLE.md gives the reason for each rule that differs from Airbnb's.
const houseRules = {
  '@typescript-eslint/no-use-before-define': [
    'error',
    { functions: false, classes: true, variables: false },
  ],
  'no-await-in-loop': 'off',
  'no-restricted-syntax': [
    'error',
    { selector: 'ForInStatement', message: 'Iterate over Object.keys or Object.entries.' },
    { selector: 'LabeledStatement', message: 'Labels make a loop hard to follow.' },
    { selector: 'WithStatement', message: 'with is not allowed in strict mode.' },
  ],
  'import-x/prefer-default-export': 'off',
  // Schemas name the type that they check, also where it could be inferred.
  '@typescript-eslint/no-unnecessary-type-arguments': 'off',
};

export default [
  { ignores: ['**/dist/', '**/node_modules/', 'jest.config.js'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        projectService: false,
        project: ['packages/*/tsconfig.json', 'tsconfig.test.json'],
      },
    },
    rules: houseRules,
  },
  {
    files: ['packages/*/test/**/*.ts'],
    languageOptions: {
      globals: { test: 'readonly', expect: 'readonly', afterEach: 'readonly', jest: 'readonly' },
    },
    // Tests use the development dependencies of the workspace.
    rules: { 'import-x/no-extraneous-dependencies': 'off' },
  },
  {
    files: ['scripts/*.js', 'packages/*/bin/*.js'],
    languageOptions: {
      globals: { require: 'readonly', process: 'readonly', __dirname: 'readonly' },
    },
    rules: { 'import-x/extensions': 'off' },
  },
];
