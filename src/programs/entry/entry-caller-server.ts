import {
	type CallerServer,
	createCallerServer,
	createCompletionsHandler,
	createServicesHandler,
	createStreamTokenSigner,
} from '../../adapters/callers/index.js';
import type {Metrics} from '../../adapters/system/index.js';
import type {Clock} from '../../common/index.js';
import type {BookingCoordinator} from '../../decisions/bookings/index.js';
import type {EffectiveSettings} from '../../decisions/configuration/index.js';
import type {ExplainLog} from '../../decisions/explain/index.js';
import type {RelayComponents} from './relay-components.js';
import type {EntrySettings} from './settings.js';

/** Dependencies of `createEntryCallerServer`. */
export type EntryCallerServerOptions = {
	readonly settings: EntrySettings;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly explainLog: ExplainLog;
	readonly relayComponents: RelayComponents;
	readonly bookings: BookingCoordinator;
	readonly settingsFor: (
		account: string,
		requestClass: string,
	) => EffectiveSettings;
	readonly isReady: () => boolean;
	readonly isStopping: () => boolean;
};

/** The server for callers, with the number of its open streams, each of which is a relay session. */
export type EntryCallerServer = CallerServer & {
	openStreams(): number;
};

/** Creates the server for callers and connects its handlers; the owner makes it listen. */
export function createEntryCallerServer(
	options: EntryCallerServerOptions,
): EntryCallerServer {
	const {settings, clock, metrics, explainLog, relayComponents, isReady} =
		options;
	const openSessions = new Set<object>();
	const createPage = (status: number, body: string) => () => ({status, body});
	const readyPage = createPage(200, 'ready\n');
	const notReadyPage = createPage(503, 'not ready\n');
	const callerServer = createCallerServer({
		accountTokens: settings.accountTokens,
		maxHeaderBytes: settings.maxHeaderBytes,
		receiveTimeoutMs: settings.relay.requestTimeoutMs,
		isStopping: options.isStopping,
		pages: new Map([
			['/healthz', createPage(200, 'ok\n')],
			['/readyz', () => (isReady() ? readyPage() : notReadyPage())],
			['/metrics', () => ({status: 200, body: metrics.text()})],
		]),
		handleCompletions: createCompletionsHandler({
			maxBodyBytes: settings.maxBodyBytes,
			maxOpenStreams: settings.relay.maxOpenStreams,
			streamTokenSigner: createStreamTokenSigner(settings.streamKey),
			settingsFor: options.settingsFor,
			relay: relayComponents.relay,
			metricsFor: relayComponents.metricsFor,
			onSession(session) {
				openSessions.add(session);
				return {
					dispose() {
						openSessions.delete(session);
					},
				};
			},
		}),
		handleServices: createServicesHandler({
			maxBodyBytes: settings.maxBodyBytes,
			retentionMs: settings.bookingRetentionMs,
			callTimeoutMs: settings.callTimeoutMs,
			wallMs: () => clock.wallMs(),
			bookings: options.bookings,
			serviceCaller: relayComponents.serviceCaller,
			nowMs: () => clock.nowMs(),
		}),
		onProblem(problem, requestId) {
			metrics.count('problems', {type: problem.type});
			explainLog.add({
				atWallMs: clock.wallMs(),
				kind: 'refusal',
				subject: requestId,
				cause: problem.detail,
				result: problem.type,
			});
		},
	});
	return {...callerServer, openStreams: () => openSessions.size};
}
