package org.vanillatrestle.daemon.internal.lifecycle;

import java.util.ArrayDeque;
import java.util.Deque;

import org.jboss.logging.Logger;

/**
 * Holds resources and closes them in the reverse order of their addition.
 * <p>
 * Closes each resource once, even if closing another resource fails. Thread safe.
 */
public final class Closer implements AutoCloseable {

	private static final Logger logger = Logger.getLogger(Closer.class);

	private final Deque<AutoCloseable> resources = new ArrayDeque<>();

	/**
	 * Adds a resource.
	 * @param <T> the resource's type
	 * @param resource the resource
	 * @return the resource
	 */
	public synchronized <T extends AutoCloseable> T add(T resource) {
		this.resources.push(resource);
		return resource;
	}

	@Override
	public synchronized void close() {
		while (!this.resources.isEmpty()) {
			close(this.resources.pop());
		}
	}

	private void close(AutoCloseable resource) {
		try {
			resource.close();
		}
		catch (Exception ex) {
			logger.warnf(ex, "Daemon: failed to close %s.", resource.getClass().getSimpleName());
		}
	}

}
