const USAGE_ERROR_EXIT_CODE = 2

/** Prints a message and ends the command. */
export function exitWithError (message: string): never {
  console.error(message)
  process.exit(USAGE_ERROR_EXIT_CODE)
}
