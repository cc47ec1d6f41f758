import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { settingsSchema, type SettingsFile } from '../../src/settings/settingsSchema.js'

const configurationPage = readFileSync('docs/CONFIGURATION.md', 'utf8')
const MINIMAL_SETTINGS = {
  host: { name: 'a', 'failure-domain': 'b', region: 'c', 'peer-address': '127.0.0.1:1', 'guest-address': '127.0.0.1:2', 'operator-address': '127.0.0.1:3' },
  secrets: { 'peer-key-file': 'x', 'operator-tokens-file': 'y' },
  peer: { d: { 'failure-domain': 'b', region: 'c', 'peer-address': '127.0.0.1:1', 'guest-address': '127.0.0.1:2' } }
}

function readRowsByKey (heading: string): Map<string, string[]> {
  const section = configurationPage.split('\n## ').find((part) => part.startsWith(`\`[${heading}`)) ?? ''
  const cells = section.split('\n').filter((line) => line.startsWith('| `')).map((line) => line.split('|').slice(1, -1).map((cell) => cell.trim()))
  return new Map(cells.map((row) => [row[0]!.replaceAll('`', ''), row]))
}

test('the configuration page lists exactly the keys of every section', () => {
  const keysByHeading: Array<[heading: string, keys: string[]]> = [
    ['host]', Object.keys(settingsSchema.shape.host.shape)],
    ['secrets]', Object.keys(settingsSchema.shape.secrets.shape)],
    ['metrics]', Object.keys(settingsSchema.shape.metrics.unwrap().shape)],
    ['limits]', Object.keys(settingsSchema.shape.limits.unwrap().shape)],
    ['timings]', Object.keys(settingsSchema.shape.timings.unwrap().shape)],
    ['peer.', Object.keys(settingsSchema.shape.peer.unwrap().valueType.shape)]
  ]
  for (const [heading, keys] of keysByHeading) assert.deepEqual([...readRowsByKey(heading).keys()].sort(), [...keys].sort(), heading)
})

test('the defaults on the configuration page match the schema', () => {
  const settings: SettingsFile = settingsSchema.parse(MINIMAL_SETTINGS)
  for (const [heading, values] of [['limits]', settings.limits], ['timings]', settings.timings]] as const) {
    for (const [key, value] of Object.entries(values)) assert.equal(readRowsByKey(heading).get(key)?.[1], String(value), key)
  }
})
