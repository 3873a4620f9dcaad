import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three plain servers is slow for a while. Afterwards a route that was added later and has its home there is
 * asked in steady state.
 */
final class SlowEngineCase {

	private static final double SLOWNESS = 5.0;

	private static final long SLOW_MILLIS = 6_500;

	private static final long CONTACT_MILLIS = 6_000;

	private static final long JUDGED_MILLIS = 20_000;

	private static final int PAYS_PER_SECOND = 18;

	private static final int READS_PER_SECOND = 4;

	private final Rig rig;

	private final ExecutorService clients = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private volatile boolean judged;

	private final AtomicInteger number = new AtomicInteger();

	private final AtomicInteger pays = new AtomicInteger();

	private final AtomicInteger paysServed = new AtomicInteger();

	private final AtomicInteger reads = new AtomicInteger();

	private final AtomicInteger readsServed = new AtomicInteger();

	private SlowEngineCase(Rig rig) {
		this.rig = rig;
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int result = 2;
		try (Rig rig = new Rig(Path.of(arguments[0]), 3)) {
			result = new SlowEngineCase(rig).run(trouble);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private int run(boolean trouble) throws Exception {
		Engine east = new Engine(this.rig, 0, "ledger", "east-a");
		Plain.attach(east);
		Plain.attach(new Engine(this.rig, 1, "ledger", "west-a"));
		Plain.attach(new Engine(this.rig, 2, "ledger", "south-a"));
		Scene.begin(this.rig, Scene.config(7, Scene.READ));
		if (!this.rig.order("PUT", "/config", Scene.config(8, Scene.READ, Scene.PAY_IN_EAST), 0, 8_000)) {
			return 2;
		}
		Rig.pause(CONTACT_MILLIS);
		Engine.thread("pays", () -> ask(PAYS_PER_SECOND, "POST", "/pay/a", this.pays, this.paysServed));
		Engine.thread("reads", () -> ask(READS_PER_SECOND, "GET", "/read/a", this.reads, this.readsServed));
		Rig.pause(5_000);
		if (trouble) {
			this.rig.note("the engine in east-a works " + SLOWNESS + " times as long");
			east.slowness = SLOWNESS;
		}
		Rig.pause(SLOW_MILLIS);
		east.slowness = 1;
		this.rig.note("the engine in east-a works as fast as before");
		Rig.pause(CONTACT_MILLIS);
		this.rig.note("judged from here on");
		this.judged = true;
		Rig.pause(JUDGED_MILLIS);
		this.judged = false;
		Rig.pause(4_500);
		double payShare = (double) this.paysServed.get() / Math.max(1, this.pays.get());
		double readShare = (double) this.readsServed.get() / Math.max(1, this.reads.get());
		String outcome = "in steady state: route added later " + this.paysServed + " of " + this.pays
				+ " served, first route " + this.readsServed + " of " + this.reads + " served";
		this.rig.note(outcome);
		System.out.println(outcome);
		if (this.pays.get() < 20 || this.reads.get() < 20 || readShare < 0.5) {
			return 2;
		}
		return (payShare < 0.25 * readShare) ? 1 : 0;
	}

	private void ask(int perSecond, String method, String path, AtomicInteger asked, AtomicInteger served) {
		double start = this.rig.millis();
		for (int i = 0; true; i++) {
			Rig.pause(Math.round(start + i * 1_000.0 / perSecond - this.rig.millis()));
			this.clients.execute(() -> ask(method, path, asked, served));
		}
	}

	private void ask(String method, String path, AtomicInteger asked, AtomicInteger served) {
		boolean counted = this.judged;
		String id = "c-" + this.number.incrementAndGet();
		String ending;
		try {
			int status = Scene.request(this.rig, 0, method, path, id, "POST".equals(method) ? "body" : "", 4_000).status;
			ending = Integer.toString(status);
		}
		catch (Exception ex) {
			ending = "none";
		}
		this.rig.note("client: " + method + " " + path + " " + id + " -> " + ending);
		if (counted) {
			asked.incrementAndGet();
			served.addAndGet("200".equals(ending) ? 1 : 0);
		}
	}

}
