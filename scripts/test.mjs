// Runs every compiled test with node:test. Failures listed in KNOWN-RED.txt are printed and tolerated.
// Any other failure, and any listed test that does not fail, fails the run; a listed test with a line `flaky:` may pass.
// A run without any passed test fails, too. Scenarios and the tests of crowds of clients load the machine, so they run one at a time after the other tests.
// Arguments restrict the run to files whose path contains one of them; listed tests that do not fail are tolerated then.
import { readdirSync, readFileSync, existsSync } from 'node:fs'
import { join } from 'node:path'
import { run } from 'node:test'
import { spec } from 'node:test/reporters'

const TEST_FOLDER = 'build/__tests__'
const SCENARIO_FOLDER = join(TEST_FOLDER, 'scenarios')
// Their hosts are loaded by crowds of clients.
const CLIENTS_FOLDER = join(TEST_FOLDER, 'platform', 'clients')
const FILE_TIMEOUT_MILLISECONDS = 400_000
const CONCURRENT_FILES = 4

const failed = []
const passed = []

async function runFiles (files, concurrency) {
  if (files.length === 0) return
  const stream = run({ files, concurrency, timeout: FILE_TIMEOUT_MILLISECONDS })
  stream.on('test:fail', (event) => { if (event.details.type !== 'suite' && event.details.error?.failureType !== 'subtestsFailed') failed.push(event.name) })
  stream.on('test:pass', (event) => { passed.push(event.name) })
  stream.compose(new spec()).pipe(process.stdout, { end: false }) // eslint-disable-line new-cap
  await new Promise((resolve) => { stream.on('end', resolve) })
}

const pathParts = process.argv.slice(2)
const files = readdirSync(TEST_FOLDER, { recursive: true })
  .filter((name) => name.endsWith('.test.js'))
  .filter((name) => existsSync(join('__tests__', name.replace(/\.js$/, '.ts'))))
  .filter((name) => pathParts.length === 0 || pathParts.some((part) => name.includes(part)))
  .map((name) => join(TEST_FOLDER, name))
  .sort()

const entries = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8').split(/\n\s*\n/) : []
const nameOf = (entry) => /^test: (.*)$/m.exec(entry)?.[1].trim()
const knownRed = entries.map(nameOf).filter((name) => name !== undefined)
const flaky = entries.filter((entry) => /^flaky: /m.test(entry)).map(nameOf)

const isExclusive = (file) => file.startsWith(SCENARIO_FOLDER) || file.startsWith(CLIENTS_FOLDER)
await runFiles(files.filter((file) => !isExclusive(file)), CONCURRENT_FILES)
await runFiles(files.filter(isExclusive), 1)

const unexpected = failed.filter((name) => !knownRed.includes(name))
const recovered = pathParts.length > 0 ? [] : knownRed.filter((name) => !failed.includes(name) && !flaky.includes(name))
for (const name of failed.filter((each) => knownRed.includes(each))) console.log(`known red: ${name}`)
for (const name of flaky.filter((each) => passed.includes(each))) console.log(`listed as flaky, passed in this run: ${name}`)
for (const name of unexpected) console.log(`failed: ${name}`)
for (const name of recovered) console.log(`listed as known red but did not fail: ${name}`)
if (passed.length === 0) console.log('no test passed')
console.log(`${passed.length} passed, ${failed.length} failed`)
process.exitCode = unexpected.length + recovered.length > 0 || passed.length === 0 ? 1 : 0
