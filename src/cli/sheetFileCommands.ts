import { readFileSync } from 'node:fs'
import { defineCommand } from 'citty'
import { diffSheets, formatSheetChange, formatSheetFault, parseSheet, type CheckedSheet } from '../hibiscusrelay.js'
import { exitWithError } from './exitWithError.js'

const SHEET_FAULTS_EXIT_CODE = 1

/**
 * Reads and checks a sheet file. Prints its faults and exits with status 1 when it has any.
 *
 * @param file - path of the sheet file
 */
export function readSheetOrExit (file: string): CheckedSheet {
  const { sheet, faults } = parseSheet(readFileOrExit(file))
  if (sheet !== undefined) return sheet
  for (const fault of faults) console.error(`${file}:${formatSheetFault(fault)}`)
  process.exit(SHEET_FAULTS_EXIT_CODE)
}

/**
 * Reads a file. Exits with a message when it cannot be read.
 *
 * @param file - path of the file
 */
export function readFileOrExit (file: string): Buffer {
  try {
    return readFileSync(file)
  } catch (error) {
    return exitWithError(`cannot read ${file}: ${(error as NodeJS.ErrnoException).code}`)
  }
}

/** `hibiscusrelay sheet check`: prints all faults of a sheet file with line and column. */
export const sheetCheckCommand = defineCommand({
  meta: { name: 'check', description: 'Check a sheet file and print every fault' },
  args: { file: { type: 'positional', description: 'Sheet file (CSV)', required: true } },
  run: ({ args }) => {
    const sheet = readSheetOrExit(args.file)
    console.log(`${args.file}: ok, sheet ${sheet.number}, ${sheet.services.size} services, ${sheet.places.size} places, ${sheet.guestBlocks.size} guest blocks`)
  }
})

/** `hibiscusrelay sheet diff`: prints the changes from one sheet file to another. */
export const sheetDiffCommand = defineCommand({
  meta: { name: 'diff', description: 'Print the changes from one sheet file to another' },
  args: {
    before: { type: 'positional', description: 'Earlier sheet file', required: true },
    after: { type: 'positional', description: 'Later sheet file', required: true }
  },
  run: ({ args }) => {
    const changes = diffSheets(readSheetOrExit(args.before), readSheetOrExit(args.after))
    console.log(changes.length === 0 ? 'no change' : changes.map(formatSheetChange).join('\n'))
  }
})
