/** Arguments of every command that asks a host. */
export const operatorArguments = {
  operator: { type: 'string', description: 'Operator address of a host, ip:port (or HIBISCUSRELAY_OPERATOR)' },
  'token-file': { type: 'string', description: 'File with the operator token (or HIBISCUSRELAY_TOKEN_FILE)' },
  json: { type: 'boolean', description: 'Print JSON' }
} as const

/** The same arguments as given. */
export interface OperatorArgumentValues {
  operator?: string | undefined
  'token-file'?: string | undefined
  json?: boolean | undefined
}
