/** Arguments of every command that calls the operator interface of a host. */
export const operatorArguments = {
  operator: { type: 'string', description: 'Operator address of a host, ip:port (or HIBISCUSRELAY_OPERATOR)' },
  'token-file': { type: 'string', description: 'File with the operator token (or HIBISCUSRELAY_TOKEN_FILE)' },
  json: { type: 'boolean', description: 'Print JSON' }
} as const

/** Values of {@link operatorArguments} as given on the command line. */
export interface OperatorArgumentValues {
  operator?: string | undefined
  'token-file'?: string | undefined
  json?: boolean | undefined
}
