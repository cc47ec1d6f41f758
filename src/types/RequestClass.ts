/** Class of a request, which decides how often it may run. */
export enum RequestClass {
  Idempotent = 'idempotent',
  OneTime = 'one-time'
}
