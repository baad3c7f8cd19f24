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
  // The steps of a request write to its one record, `run`; Node's responses are set through fields.
  'no-param-reassign': [
    'error',
    { props: true, ignorePropertyModificationsFor: ['run', 'response'] },
  ],
  'import-x/prefer-default-export': 'off',
  // Schemas name the type that they validate, even where it could be inferred.
  '@typescript-eslint/no-unnecessary-type-arguments': 'off',
};

// Names of the platform's wire protocol that only platform/ uses and translates, and that the
// stand-ins of the platform speak.
const wireNames = [
  'x-attempt-id',
  'x-prefix-hash',
  'x-token-usage',
  'x-server-stamp',
  'x-tenant',
  'x-expect-instance',
  'x-not-executed',
  'x-request-urgency',
  'rows-tx',
  'rows-get',
  'rows-feed',
  'expected_rev',
  'api_keys',
  'route_kind',
  'slo_ms',
  'POMELOROAD_SETTINGS',
].join('|');
const wireMessage = "Only platform/ speaks the platform's wire; decode the name there.";

export default [
  { ignores: ['**/dist/', '**/node_modules/', 'target/', 'journal/', 'jest.config.js'] },
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
        project: ['packages/*/tsconfig.json', 'platform/tsconfig.json', 'tsconfig.test.json'],
      },
    },
    rules: houseRules,
  },
  {
    files: ['packages/**/*.ts'],
    ignores: ['packages/standins/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: ['@pomeloroad/platform', '**/platform/src/**'] },
      ],
      'no-restricted-syntax': [
        ...houseRules['no-restricted-syntax'],
        { selector: `Literal[value=/${wireNames}/i]`, message: wireMessage },
      ],
    },
  },
  {
    files: ['packages/*/test/**/*.ts', 'platform/test/**/*.ts'],
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
