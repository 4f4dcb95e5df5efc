import type {FreshnessGate} from './freshness-gate.js';
import type {ServingSession} from './session-types.js';

/** What a session that may have to wait for the gate works with. */
export type GatedSessionOptions = {
	readonly gate: FreshnessGate;
	readonly start: () => ServingSession;
	/** Refuses the request before its session has started. */
	readonly refuse: (reason: string, retryAfterMs: number) => void;
};

/** Starts a session, at once or when what is known may be acted on. */
export function startGatedSession({
	gate,
	start,
	refuse,
}: GatedSessionOptions): ServingSession {
	let session: ServingSession | undefined;
	let isEnded = false;
	const waiting = gate.whenFresh(() => {
		session = start();
	});

	return {
		get isDone() {
			return session?.isDone ?? isEnded;
		},
		get mayHaveRun() {
			return session?.mayHaveRun ?? false;
		},
		callerDisconnected() {
			waiting.dispose();
			isEnded = true;
			session?.callerDisconnected();
		},
		giveUp(reason, retryAfterMs) {
			waiting.dispose();
			if (session) {
				session.giveUp(reason, retryAfterMs);
			} else if (!isEnded) {
				refuse(reason, retryAfterMs);
			}

			isEnded = true;
		},
	};
}
