import {initTRPC, TRPCError} from '@trpc/server';
import * as z from 'zod';
import type {
	BookingStatusRequest,
	BookingStatus,
} from '../../decisions/bookings/index.js';
import {
	type StopResponse,
	type StopRequest,
	toProblem,
} from '../../common/index.js';
import type {ConfigurationChange} from '../../decisions/configuration/index.js';
import type {ExplainRecord} from '../../decisions/explain/index.js';
import type {PackedMessage} from '../../decisions/membership/index.js';

/** Status of an entry VM, as shown to peers and operators. */
export type EntryStatus = {
	readonly name: string;
	readonly instanceId: string;
	readonly availabilityZone: string;
	readonly configurationVersion: number;
	readonly ready: boolean;
	readonly stopping: boolean;
	readonly openStreams: number;
	/** True while neither the table service nor any peer is reachable, so that the configuration may be out of date. */
	readonly cutOff: boolean;
	/** Number of callers' requests whose response is not complete; a graceful stop waits for them. */
	readonly openExchanges: number;
	/** Number of disconnected callers whose generations continue until their resume windows end. */
	readonly awaitedCallers: number;
};

/** Implementation of the procedures. */
export type PeerRouterOptions = {
	readonly status: () => EntryStatus;
	readonly configurationAfter: (
		version: number,
	) => readonly ConfigurationChange[];
	readonly markTargetLeaving: (targetId: string) => void;
	/**
	 * Handles a membership message.
	 * @returns the message for the sender
	 * @throws ProblemError `peer-protocol` if it is malformed
	 */
	readonly exchange: (message: unknown) => PackedMessage;
	readonly metricsText: () => string;
	readonly bookingStatus: (
		request: BookingStatusRequest,
	) => Promise<BookingStatus>;
	/** Handles a request to stop sending to a target, from the next holder of the target's lease. */
	readonly confirmStop: (request: StopRequest) => StopResponse;
	/** Returns the records of commands for a target, or of a calendar minute. */
	readonly explain: (query: ExplainQuery) => readonly ExplainRecord[];
};

/** Selects records of commands by target or by calendar minute. */
export type ExplainQuery =
	{readonly subject: string} | {readonly minute: number};

/** Role granted by the bearer token; undefined if the token is unknown. */
export type PeerContext = {readonly role: 'peer' | 'operator' | undefined};

/** Longest time for which the owner of a booking record may delay its response to a peer, in milliseconds. */
export const maxBookingWaitMs = 30_000;

const trpc = initTRPC
	.context<PeerContext>()
	// By default, error bodies contain stack traces unless NODE_ENV is "production".
	.create({isDev: false});

const anyRoleProcedure = trpc.procedure.use(async ({ctx, next}) => {
	if (ctx.role === undefined) {
		throw new TRPCError({
			code: 'UNAUTHORIZED',
			message: 'a valid peer or operator token is required',
		});
	}

	return next();
});

const peerProcedure = anyRoleProcedure.use(async ({ctx, next}) => {
	if (ctx.role !== 'peer') {
		throw new TRPCError({
			code: 'FORBIDDEN',
			message: 'only entry VMs may call this procedure, with a peer token',
		});
	}

	return next();
});

/** Creates the tRPC procedures that entry VMs offer to each other and to operators. */
export function createPeerRouter(options: PeerRouterOptions) {
	return trpc.router({
		status: anyRoleProcedure.query(() => options.status()),
		configurationAfter: anyRoleProcedure
			.input(z.object({version: z.number().int().min(0)}))
			.query(({input}) => options.configurationAfter(input.version)),
		targetLeaving: anyRoleProcedure
			.input(z.object({targetId: z.string()}))
			.mutation(({input}) => {
				options.markTargetLeaving(input.targetId);
			}),
		bookingStatus: anyRoleProcedure
			.input(
				z.object({
					account: z.string(),
					key: z.string(),
					owner: z.string(),
					attemptId: z.string(),
					waitMs: z.number().min(0).max(maxBookingWaitMs),
				}),
			)
			.query(async ({input}) => options.bookingStatus(input)),
		exchange: peerProcedure
			// Validated by the handler, which counts malformed messages and reports what is wrong with them.
			.input((message: unknown) => message)
			.mutation(({input}) => {
				try {
					return options.exchange(input);
				} catch (error) {
					const problem = toProblem(error);
					throw new TRPCError({
						code: 'BAD_REQUEST',
						message: problem.detail,
						cause: problem,
					});
				}
			}),
		confirmStop: peerProcedure
			.input(
				z.object({
					targetId: z.string(),
					holder: z.object({
						vmInstanceId: z.string(),
						incarnation: z.string(),
						listSequence: z.number().int(),
					}),
					fencingNumber: z.number().int().min(0),
				}),
			)
			.mutation(({input}) => options.confirmStop(input)),
		explain: anyRoleProcedure
			.input(
				z.union([
					z.object({subject: z.string()}),
					z.object({minute: z.number().int().min(0)}),
				]),
			)
			.query(({input}) => options.explain(input)),
		metrics: anyRoleProcedure.query(() => options.metricsText()),
	});
}

/** Type of the procedures, from which clients infer their types. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;
