import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** What a plain server does with a request: six at once, a queue of 24, and 503 with X-Not-Executed beyond. */
final class Plain {

	private static final int SLOTS = 6;

	private static final int QUEUE = 24;

	/** The work of one request at the usual speed. */
	static final double WORK_MILLIS = 85.7;

	private Plain() {
	}

	static void attach(Engine engine) {
		Semaphore slots = new Semaphore(SLOTS, true);
		AtomicInteger inside = new AtomicInteger();
		engine.behaviour = (request) -> {
			if (inside.incrementAndGet() > SLOTS + QUEUE) {
				inside.decrementAndGet();
				request.answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", "");
				return true;
			}
			try {
				slots.acquire();
				try {
					request.ran();
					Rig.pause(Math.round(WORK_MILLIS * engine.slowness));
				}
				finally {
					slots.release();
				}
			}
			finally {
				inside.decrementAndGet();
			}
			request.answer("200 OK", "", "done " + request.id());
			return true;
		};
	}

}
