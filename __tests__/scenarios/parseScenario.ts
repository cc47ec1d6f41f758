import type { ScenarioStep } from './ScenarioStep.js'

/**
 * Parses a scenario: one step per line; `#` begins a comment.
 *
 * @param text - content of the file
 * @returns the steps in the order of the file
 */
export function parseScenario (text: string): ScenarioStep[] {
  return text.split('\n').flatMap((rawLine, index) => {
    const line = rawLine.replace(/(^|\s)#.*$/, '').trim()
    return line === '' ? [] : [parseStep(line, index + 1)]
  })
}

function parseStep (text: string, line: number): ScenarioStep {
  const [verb = '', ...rest] = text.split(/\s+/)
  const options = rest.filter((word) => /^[a-z-]+=/.test(word)).map((word): [string, string] => {
    const equalsIndex = word.indexOf('=')
    return [word.slice(0, equalsIndex), word.slice(equalsIndex + 1)]
  })
  return { line, text, verb, words: rest.filter((word) => !/^[a-z-]+=/.test(word)), options: new Map(options) }
}

/**
 * @param text - a time such as `250ms`, `2s` or `2`; without a unit it is in seconds
 * @returns the time in milliseconds
 * @throws Error if the text is not a time
 */
export function parseMilliseconds (text: string): number {
  const match = /^(\d+(?:\.\d+)?)(ms|s)?$/.exec(text)
  if (match === null) throw new Error(`expected a time such as 250ms or 2s, not ${text}`)
  return Number(match[1]) * (match[2] === 'ms' ? 1 : 1000)
}
