/** Error messages of this project, as functions of the values that they name. */
export const errorTexts = {
  peerUnreachable: (method: string) => `the peer did not answer ${method}`,
  noAnswerInTime: () => 'no answer in time',
  framingLimitExceeded: (bytes: number) => `received ${bytes} bytes without a response head, body data or an end`,
  framingExceedsData: () => 'received far more framing than body data',
  unaskedBytes: () => 'received bytes on a connection without a request',
  unsentRest: () => 'the answer was complete before its request was sent',
  foreignAnswer: () => 'the answer belongs to another request, or to none',
  peerRefused: (method: string, message: string) => `the peer refused ${method}: ${message}`,
  statusUnknown: (status: number) => `the status ${status} of the answer is not one of HTTP`,
  answerEndUnknown: () => 'another answer follows on the connection, and it is not known where the first one ends',
  undelimitedAnswerTooLarge: (bytes: number) => `an answer that only the end of its connection delimits has more than ${bytes} bytes`,
  tooManyLargeAnswers: () => 'too many large answers are passed on at the same time',
  peerAnswerTooLarge: (bytes: number) => `the answer of the peer exceeds ${bytes} bytes`,
  callMemoryUsedUp: () => 'the answers to other calls hold the memory for them',
  answerNamesOtherCall: () => 'the answer does not name the call that it belongs to',
  callerNotAuthenticated: () => 'the caller did not authenticate as a host of this system',
  settingsInvalid: (faults: number) => `the settings contain ${faults} fault(s)`,
  fileUnreadable: (file: string) => `cannot read ${file}`,
  listenFailed: (address: string) => `cannot listen on ${address}`,

  // Replicated log
  replicaStopped: (reason: string) => `the replica stopped: ${reason}`,
  replicaWriteFailed: (file: string) => `cannot write or sync ${file}; the replica is stopped until its disk takes writes again`,
  replicaReadFailed: (folder: string) => `cannot read ${folder}; the replica is stopped until its disk can be read again`,
  replicaFileCorrupt: (file: string) => `${file} is corrupt; empty the data folder and replace this replica by a new one`,
  replicaFileMissing: (file: string) => `${file} is missing although this replica has joined a group; empty the data folder and replace this replica by a new one`,
  replicaIdentityMissing: () => 'the data folder contains files but no replica identity; empty it and replace this replica by a new one',
  replicaWithoutGroup: () => 'this replica has not joined a group; bootstrap the group, or add this replica to one',
  replicaIdentityMismatch: (requested: string, local: string) => `the call is addressed to replica ${requested}, but this is replica ${local}`,
  replicaGroupMismatch: () => 'the call comes from another replica group',
  replicaRetired: (identity: string) => `replica ${identity} was removed from the group and cannot rejoin it`,
  snapshotTooLarge: (bytes: number, limit: number) => `the snapshot has ${bytes} bytes; the limit is ${limit}`,
  snapshotInstallationRunning: () => 'another snapshot is being installed',
  snapshotCorrupt: () => 'the received snapshot is corrupt',
  snapshotMissing: () => 'there is no intact snapshot to send',
  bootstrapGroupMismatch: (address: string) => `the replica at ${address} belongs to another group`,
  bootstrapNotStarted: (address: string) => `the replica at ${address} has not started`,
  bootstrapAddressesInvalid: () => 'the address list is empty or contains an address twice',
  bootstrapDuplicateIdentity: (identity: string) => `two addresses belong to replica ${identity}`,
  forcedMembershipWithLeader: () => 'a leader with a majority is alive; forcing the membership would lose its changes',
  forcedMembershipBehind: (address: string) => `the replica at ${address} holds a longer log; force the membership on that replica`,
  forcedMembershipIdentityMismatch: (requested: string, local: string) => `the command names replica ${requested}, but this is replica ${local}`,
  recoveryNotCommitted: (reason: string) => `the recovered sheet is not committed: ${reason}`,
  sheetNumberInvalid: (number: number) => `the sheet number ${number} is not a positive integer`,
  sheetDigestMismatch: (number: number) => `the content of sheet ${number} does not match the given digest`,
  spreadDigestMismatch: (number: number) => `the content received for sheet ${number} does not match its digest`,

  // Exchanges
  receiverDisconnected: () => 'the receiver of the answer disconnected',
  answerEndNotConfirmed: () => 'the answer ended with its connection, and nothing confirms that it is whole',

  // State feed of control hosts
  feedNotReady: () => 'this control host has just started and has not yet collected the state that it serves',

  // Load runs
  scheduleMalformed: (line: string) => `expected <seconds>s [rate <factor>] [drain place <name> | drain upstream <ip:port>] [note], got ${line}`,
  drainWithoutOperators: () => 'a schedule with drains needs --operators and --token-file',
  drainUnknownUpstream: (address: string) => `none of the given operator hosts owns an upstream at ${address}`,
  drainUnknownPlace: (place: string) => `the sheet in force has no open place ${place}`,
  drainRefused: (status: number, answer: string) => `the drain was refused with status ${status}: ${answer}`
}
