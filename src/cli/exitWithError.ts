const USAGE_ERROR_EXIT_CODE = 2

/**
 * Prints a message to standard error and exits with status 2.
 *
 * @param message - one line that names the fault and, where it helps, the remedy
 */
export function exitWithError (message: string): never {
  console.error(message)
  process.exit(USAGE_ERROR_EXIT_CODE)
}
