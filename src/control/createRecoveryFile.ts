import { diskFiles } from '../agreement/storage/diskFiles.js'
import type { CrashExchange } from '../crashes/CrashExchange.js'
import type { RestoredPlans } from '../plan/RestoredPlans.js'
import type { RegistrySharer } from '../registry/RegistrySharer.js'
import type { UpstreamTable } from '../registry/UpstreamTable.js'
import type { ControlHostOptions } from './ControlHostOptions.js'
import { RecoveryFile } from './RecoveryFile.js'

/** State of a control host that its recovery file contains. */
export interface RecoveredParts {
  plans: RestoredPlans
  upstreams: UpstreamTable
  registry: Pick<RegistrySharer, 'origin'>
  crashes: CrashExchange
}

/**
 * @param options - folder, file operations and log of the control host
 * @param parts - the state to write
 * @returns the recovery file of a control host
 */
export function createRecoveryFile ({ settings, files = diskFiles, log }: ControlHostOptions, { plans, upstreams, registry, crashes }: RecoveredParts): RecoveryFile {
  return new RecoveryFile({
    files,
    folder: settings().dataFolder,
    describe: () => {
      const { plan, evacuated, evacuationRevision } = plans
      return { plan, evacuated, evacuationRevision, upstreams: upstreams.describe(), registry: registry.origin, crashes: crashes.table.changedSince(0) }
    },
    log
  })
}
