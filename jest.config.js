module.exports = {
  testMatch: ['<rootDir>/packages/*/test/**/*.test.ts', '<rootDir>/platform/test/**/*.test.ts'],
  transform: { '^.+\\.ts$': ['ts-jest', { tsconfig: '<rootDir>/tsconfig.test.json' }] },
  moduleNameMapper: {
    '^@pomeloroad/platform$': '<rootDir>/platform/src',
    '^@pomeloroad/([a-z]+)$': '<rootDir>/packages/$1/src',
  },
  testTimeout: 60_000,
  maxWorkers: 4,
};
