// The names of the wire protocol, mapped to the terms of this program. Parsing and rendering use these
// constants; the wire names appear nowhere else.
#pragma once

namespace finchrun::wire {

/// JSON keys of messages. Names that end with `S` are in seconds.
namespace field {

// Of submissions.
inline constexpr const char* kJobId = "nameId";          // job id: "req-" and digits, chosen by the user
inline constexpr const char* kJobClass = "lane";         // job class: a group of similar jobs
inline constexpr const char* kTeam = "crew";             // team: whose quota the job counts against
inline constexpr const char* kShape = "shape";           // shape: job array, gang or service
inline constexpr const char* kPriority = "urgency";      // priority
inline constexpr const char* kTasks = "pieces";          // number of tasks; in heartbeats, list of tasks
inline constexpr const char* kCpus = "vcpus";            // processors of one task
inline constexpr const char* kGpus = "gpus";             // accelerators of one task
inline constexpr const char* kRamGb = "ramGb";           // memory of one task
inline constexpr const char* kImage = "plate";           // image that the tasks run from
inline constexpr const char* kImageGb = "imageGb";       // size of the image
inline constexpr const char* kMachineTypes = "racks";    // machine types allowed; null: any
inline constexpr const char* kSingleZone = "together";   // all tasks in one zone
inline constexpr const char* kSpread = "scatter";        // tasks in several zones
inline constexpr const char* kExpectedRunS = "expectS";  // expected run time of a task
inline constexpr const char* kCheckpointIntervalS = "snapshotS";  // seconds between checkpoints; 0: none
inline constexpr const char* kCheckpointSaveS = "flushS";         // time needed to save a checkpoint
inline constexpr const char* kDeadlineS = "dueS";                 // deadline after submission; null: none

// Of submissions and heartbeats.
inline constexpr const char* kZone = "hall";     // zone: of the machine; for a job the one allowed, null: any
inline constexpr const char* kSpot = "loaners";  // spot instance; for a job whether it may run on one

// Of heartbeats.
inline constexpr const char* kMachine = "perch";                // machine name
inline constexpr const char* kEndpoint = "endpoint";            // address of the machine's agent
inline constexpr const char* kMachineType = "rack";             // machine type
inline constexpr const char* kSequence = "tick";                // sequence number within the incarnation
inline constexpr const char* kTerminationNoticeS = "warningS";  // until the cloud terminates the instance
inline constexpr const char* kTaskState = "status";             // of a task on the machine
inline constexpr const char* kExitCause = "cause";              // why the task ended
inline constexpr const char* kCheckpointSaved = "stored";       // the ended task has saved a checkpoint

// Of heartbeats and commands.
inline constexpr const char* kAgentIncarnation = "stint";  // agent incarnation
inline constexpr const char* kFencingToken = "baton";      // fencing token of the partition's leader
inline constexpr const char* kTask = "piece";              // task: "<job id>/<index>"
inline constexpr const char* kAttempt = "try";             // attempt: increases with each start of the task

// Of commands and other answers.
inline constexpr const char* kCommands = "orders";   // commands for the agent
inline constexpr const char* kCommandKind = "verb";  // what to do with the task
inline constexpr const char* kGraceS = "leewayS";    // of a stop: time for the task to save
inline constexpr const char* kLeader = "foreman";    // label of the controller that leads the partition
inline constexpr const char* kJobStatus = "status";  // of a job
inline constexpr const char* kDone = "done";         // number of the job's tasks that are done
inline constexpr const char* kRunning = "running";   // number of the job's tasks that may be on a machine
inline constexpr const char* kError = "error";       // the reason why a request was not carried out

}  // namespace field

/// Values of fields.
namespace value {

// Shapes.
inline constexpr const char* kArray = "array";       // job array
inline constexpr const char* kGang = "ensemble";     // gang
inline constexpr const char* kService = "standing";  // service: runs until it is cancelled

// States of a task on its machine.
inline constexpr const char* kFetching = "pulling";  // fetching the image
inline constexpr const char* kWaiting = "waiting";   // a gang's task that waits for its peers
inline constexpr const char* kRunning = "running";
inline constexpr const char* kSaving = "flushing";  // stopping, and saving a checkpoint
inline constexpr const char* kEnded = "ended";

// Causes of a task's end.
inline constexpr const char* kDone = "done";
inline constexpr const char* kStopped = "halted";              // by a stop command
inline constexpr const char* kGangPeerEnded = "mates_gone";    // another task of the gang has ended
inline constexpr const char* kGangPeersMissing = "alone";      // the gang was not complete in time
inline constexpr const char* kError = "error";                 // the task failed
inline constexpr const char* kNoRoom = "full";                 // the machine has too few free resources
inline constexpr const char* kOtherAttemptPresent = "in_use";  // another attempt of the task is still there

// Kinds of commands.
inline constexpr const char* kStart = "run";
inline constexpr const char* kStop = "kill";
inline constexpr const char* kForget = "reap";  // drop an ended task from the heartbeats: its end is recorded

}  // namespace value

}  // namespace finchrun::wire
