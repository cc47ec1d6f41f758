/** All error texts of the project, each a function of what it names. */
export const errorTexts = {
  peerUnreachable: (method: string) => `the peer did not answer ${method}`,
  framingLimitExceeded: (bytes: number) => `${bytes} bytes came without a head, a part of a body or an end`,
  peerRefused: (method: string, message: string) => `the peer refused ${method}: ${message}`,
  callerNotAuthenticated: () => 'the caller did not prove that it belongs to this system',
  settingsInvalid: (faults: number) => `the settings have ${faults} fault(s)`,
  fileUnreadable: (file: string) => `cannot read ${file}`,
  listenFailed: (address: string) => `cannot listen on ${address}`,

  // Agreement
  replicaStopped: (reason: string) => `the replica stopped: ${reason}`,
  replicaWriteFailed: (file: string) => `cannot write or sync ${file}; the replica stays stopped until its disk is repaired and it is restarted`,
  replicaFileCorrupt: (file: string) => `${file} is corrupt; empty the data folder and replace this replica by a new one`,
  replicaFileMissing: (file: string) => `${file} is missing though this replica has joined a group; empty the data folder and replace this replica by a new one`,
  replicaIdentityMissing: () => 'the data folder holds files but no replica identity; empty it and replace this replica by a new one',
  replicaWithoutGroup: () => 'this replica has not joined a group; bootstrap the group, or add this replica to one',
  replicaIdentityMismatch: (requested: string, local: string) => `the call is for replica ${requested}, this one is ${local}`,
  replicaGroupMismatch: () => 'the call comes from another replica group',
  replicaRetired: (identity: string) => `replica ${identity} was removed from the group and cannot come back`,
  snapshotTooLarge: (bytes: number, limit: number) => `the snapshot has ${bytes} bytes, the limit is ${limit}`,
  snapshotInstallationRunning: () => 'a snapshot is being installed',
  snapshotCorrupt: () => 'the snapshot received is damaged',
  snapshotMissing: () => 'there is no intact snapshot to send',
  bootstrapGroupMismatch: (address: string) => `the replica at ${address} belongs to another group`,
  bootstrapNotStarted: (address: string) => `the replica at ${address} has not started`,
  bootstrapAddressesInvalid: () => 'the address list is empty or holds an address twice',
  bootstrapDuplicateIdentity: (identity: string) => `two addresses answer as replica ${identity}`,
  forcedMembershipWithLeader: () => 'a leader with a majority is alive; a forced membership would lose its changes',
  forcedMembershipBehind: (address: string) => `the replica at ${address} holds a longer log; force the membership there`,
  forcedMembershipIdentityMismatch: (requested: string, local: string) => `the command names replica ${requested}, this one is ${local}`,
  recoveryNotCommitted: (reason: string) => `the recovered sheet is not committed: ${reason}`,
  sheetNumberInvalid: (number: number) => `${number} is no positive integer`,
  sheetDigestMismatch: (number: number) => `the content of sheet ${number} does not have the digest given`,
  spreadDigestMismatch: (number: number) => `the content received for sheet ${number} does not have its digest`,

  // Following control hosts
  feedNotReady: () => 'this control host has just started and does not know enough yet',

  // Load runs
  scheduleMalformed: (line: string) => `expected <seconds>s [rate <factor>] [drain place <name> | drain upstream <ip:port>] [note], not ${line}`,
  drainWithoutOperators: () => 'a schedule with drains needs --operators and --token-file',
  drainUnknownUpstream: (address: string) => `no asked host owns an upstream at ${address}`,
  drainUnknownPlace: (place: string) => `the sheet in force has no open place ${place}`,
  drainRefused: (status: number, answer: string) => `refused with status ${status}: ${answer}`
}
