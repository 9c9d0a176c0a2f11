package packets

// The kinds of datagrams between entries. Owner means the owner of the shard that is named. The numbers go over the
// wire.
const (
	KindHeartbeat   Kind = iota + 1 // entry to entry: heartbeat, with the entries that it takes for alive
	KindQuotaTake                   // entry to the owner of an account: takes from the account's quota for a request
	KindQuotaReply                  // answer to KindQuotaTake
	KindQuotaReturn                 // entry to the owner of an account: this request did not run
	KindJobSubmit                   // entry to the owner of a planner: requests an assignment for a job
	KindJobDecision                 // the owner's decision on a job
	KindJobProgress                 // entry to the owner of a planner: a job has begun, is done or withdrawn
	KindJobSync                     // entry to the owner of a planner: all jobs that it has on the targets
	KindFeedState                   // feed reader to the others: the feed state of a table
	KindEstimates                   // owner to its successor: its estimates
	// KindSilenceQuery and KindSilenceAnswer ask the others for how long an entry sent them no
	// heartbeat.
	KindSilenceQuery
	KindSilenceAnswer
	KindFeedQuery  // entry to a few others: queries the feed state of tables
	KindTargetEnds // entry to the others: requests under which targets have ended
	// KindRunAsk, KindRunAnswer and KindRunDone request, decide and end an exclusive run of a
	// suspected request.
	KindRunAsk
	KindRunAnswer
	KindRunDone
	KindAdvice // entry to the owner of a planner: the advice that targets have sent it
	// KindRegistration asks the registrar to write the sender's row in the list of entries;
	// KindRegistrationTaken answers that it does.
	KindRegistration
	KindRegistrationTaken
	KindProbe     // entry to another one: requests a heartbeat
	KindSuspicion // entry to the others: entries that do not answer
	// KindVersionSubmit is KindJobSubmit for a job that may only get targets of one version.
	KindVersionSubmit
	KindTargetEnd // entry to the owner of a planner: the process of a target has ended
	// KindOriginCopy asks an entry to keep origins of streams, which KindOriginCopyTaken confirms; KindOriginQuery asks for
	// one, which KindOriginReply answers.
	KindOriginCopy
	KindOriginCopyTaken
	KindOriginQuery
	KindOriginReply
	KindPartEnds // entry to the others: parts of prompts under which targets have ended
	// KindSlowdownProgress is KindJobProgress with the passing slowness that the target has reported.
	KindSlowdownProgress
)
