/** The platform's object store. Failures are `object-store-unavailable`. */
export abstract class ObjectStore {
	/** Reads an object, or undefined if it is absent. */
	abstract get(name: string): Promise<string | undefined>;

	/** Replaces an object. */
	abstract put(name: string, body: string): Promise<void>;
}
