package packets

// The kinds of messages between processes of the system.
const (
	KindHello    Kind = iota + 1 // entry to entry: alive, and whom it takes for alive
	KindClaim                    // entry to the home of an account: may this run?
	KindReply                    // the home's answer
	KindReturn                   // entry to home: this did not run
	KindAsk                      // entry to the home of a group of targets: a place, please
	KindAnswer                   // the home's answer
	KindStep                     // entry to home: begun, done or withdrawn
	KindSync                     // entry to home: all that it has on the targets
	KindBulletin                 // reader of the store to the others: how a table stands
	KindLearned                  // home to the entry that would follow it: what it has learned
	// KindSilenceQuestion and KindSilenceAnswer: for how long has an entry not been heard?
	KindSilenceQuestion
	KindSilenceAnswer
	KindInquiry // entry to a few others: how do the tables stand?
	KindEnds    // entry to the others: under these requests targets have ended
	// KindTurnAsk, KindTurnAnswer and KindTurnDone: whose turn is it to run a suspected request?
	KindTurnAsk
	KindTurnAnswer
	KindTurnDone
	KindAdvice // entry to the home of a group of targets: what they have told it of themselves
	// KindRegistration and KindTaken: write my row on the list of entries, and its sender does.
	KindRegistration
	KindTaken
	KindProbe     // entry to another one: greet me
	KindSuspicion // entry to the others: these do not answer
)
