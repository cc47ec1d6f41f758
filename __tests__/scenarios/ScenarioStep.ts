/** One line of a scenario file. */
export interface ScenarioStep {
  /** Line number in the file, from 1. */
  line: number
  /** Text of the line without its comment. */
  text: string
  verb: string
  /** Words after the verb, except options. */
  words: string[]
  /** Words of the form `name=value`. */
  options: Map<string, string>
}
