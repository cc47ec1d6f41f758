import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['build/**', 'target/**', 'node_modules/**'] }),
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    rules: {
      'max-lines': ['error', { max: 250, skipBlankLines: true }],
      'max-lines-per-function': ['error', { max: 40, skipBlankLines: true, skipComments: true }],
      'max-depth': ['error', 3]
    }
  }
]
