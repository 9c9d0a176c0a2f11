package packets

// The kinds of messages between processes of the system.
const (
	KindHeartbeat   Kind = iota + 1 // entry to entry: alive, and whom it takes for alive
	KindQuotaTake                   // entry to the home of an account: may this run?
	KindQuotaReply                  // the home's answer
	KindQuotaReturn                 // entry to home: this did not run
	KindJobSubmit                   // entry to the home of a group of targets: a place, please
	KindJobDecision                 // the home's answer
	KindJobProgress                 // entry to home: begun, done or withdrawn
	KindJobSync                     // entry to home: all that it has on the targets
	KindFeedState                   // reader of the store to the others: how a table stands
	KindEstimates                   // home to the entry that would follow it: what it has learned
	// KindSilenceQuestion and KindSilenceAnswer: for how long has an entry not been heard?
	KindSilenceQuestion
	KindSilenceAnswer
	KindFeedQuery  // entry to a few others: how do the tables stand?
	KindTargetEnds // entry to the others: under these requests targets have ended
	// KindTurnAsk, KindTurnAnswer and KindTurnDone: whose turn is it to run a suspected request?
	KindRunAsk
	KindRunAnswer
	KindRunDone
	KindAdvice // entry to the home of a group of targets: what they have told it of themselves
	// KindRegistration and KindTaken: write my row on the list of entries, and its sender does.
	KindRegistration
	KindRegistrationTaken
	KindProbe     // entry to another one: greet me
	KindSuspicion // entry to the others: these do not answer
)
