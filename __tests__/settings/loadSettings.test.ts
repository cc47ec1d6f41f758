import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { after, test } from 'node:test'
import { SettingsError } from '../../src/errors/SettingsError.js'
import { loadSettings } from '../../src/settings/loadSettings.js'

const folder = mkdtempSync(join(tmpdir(), 'hibiscusrelay-settings-'))
after(() => { rmSync(folder, { recursive: true }) })

const VALID_SETTINGS = `[host]
name=oviedo-1
failure-domain=oviedo
region=asturias
peer-address=127.0.0.1:7100
guest-address=127.0.0.1:7000
operator-address=127.0.0.1:7200
data-folder=data
[secrets]
peer-key-file=peer.key
operator-tokens-file=operators
[peer.gijon-1]
failure-domain=gijon
region=asturias
peer-address=127.0.0.2:7100
guest-address=127.0.0.2:7000
replica=yes
`

function writeSettings (text: string, key = 'k'.repeat(32), tokens = 'maria:0123456789abcdef\n'): string {
  const file = join(folder, 'host.ini')
  writeFileSync(file, text)
  writeFileSync(join(folder, 'peer.key'), key)
  writeFileSync(join(folder, 'operators'), tokens)
  return file
}

test('reads valid settings, with defaults and with paths relative to the folder of the file', () => {
  const settings = loadSettings(writeSettings(VALID_SETTINGS))
  assert.equal(settings.dataFolder, join(folder, 'data'))
  assert.equal(settings.peers[0]!.name, 'gijon-1')
  assert.equal(settings.peers[0]!.replica, true)
  assert.equal(settings.peers[0]!.dialAddress, '127.0.0.2:7100')
  assert.equal(settings.timings.leaseMilliseconds, 1000)
  assert.equal(settings.operatorTokens.get('maria'), '0123456789abcdef')
})

const INVALID_CASES: Array<{ name: string, text?: string, key?: string, tokens?: string, faults: Array<[section: string, key: string]> }> = [
  { name: 'a missing key', text: VALID_SETTINGS.replace('region=asturias\npeer-address=127.0.0.1', 'peer-address=127.0.0.1'), faults: [['host', 'region']] },
  { name: 'an unknown key', text: VALID_SETTINGS.replace('data-folder', 'date-folder'), faults: [['host', '']] },
  { name: 'an unknown section', text: `${VALID_SETTINGS}[limit]\nqueue-length=3\n`, faults: [['', '']] },
  { name: 'an address without a port', text: VALID_SETTINGS.replace('127.0.0.1:7100', '127.0.0.1'), faults: [['host', 'peer-address']] },
  { name: 'an address with a host name', text: VALID_SETTINGS.replace('127.0.0.2:7100', 'gijon:7100'), faults: [['peer.gijon-1', 'peer-address']] },
  { name: 'a number out of range', text: `${VALID_SETTINGS}[limits]\nretry-percent=101\n`, faults: [['limits', 'retry-percent']] },
  { name: 'a value other than yes or no', text: VALID_SETTINGS.replace('replica=yes', 'replica=maybe'), faults: [['peer.gijon-1', 'replica']] },
  { name: 'two faults at once', text: VALID_SETTINGS.replace('127.0.0.1:7100', 'x').replace('127.0.0.2:7100', 'y'), faults: [['host', 'peer-address'], ['peer.gijon-1', 'peer-address']] },
  { name: 'a missing secret file', text: VALID_SETTINGS.replace('peer.key', 'none.key'), faults: [['secrets', 'peer-key-file']] },
  { name: 'a short key', key: 'short', faults: [['secrets', 'peer-key-file']] },
  { name: 'a token file without a name', tokens: '0123456789abcdef\n', faults: [['secrets', 'operator-tokens-file']] }
]

for (const { name, text, key, tokens, faults } of INVALID_CASES) {
  test(`reports ${name} with section and key`, () => {
    const file = writeSettings(text ?? VALID_SETTINGS, key, tokens)
    assert.throws(() => loadSettings(file), (error) => {
      assert.ok(error instanceof SettingsError)
      assert.deepEqual(error.faults.map((fault) => [fault.section, fault.key]), faults)
      assert.ok(error.faults.every((fault) => fault.file === file && fault.problem !== ''))
      return true
    })
  })
}
