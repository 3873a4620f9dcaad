import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A control process freezes and wakes again while the operator ends an evacuation and then evacuates the zone again.
 * The order that the frozen process took in is acknowledged by another one meanwhile. This is done several times.
 */
final class StaleOrderCase {

	private static final long FREEZE_MILLIS = 1_150;

	private static final long EVACUATE_MILLIS = 5_000;

	private static final long CONTACT_MILLIS = 6_000;

	private static final long JUDGED_MILLIS = 4_000;

	private static final int ROUNDS = 4;

	private static final String ORDER = "/evacuation/west-a";

	private StaleOrderCase() {
	}

	public static void main(String[] arguments) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int result = 2;
		try (Rig rig = new Rig(Path.of(arguments[0]), 3)) {
			result = run(rig, trouble);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private static int run(Rig rig, boolean trouble) throws Exception {
		Plain.attach(new Engine(rig, 0, "ledger", "east-a"));
		Engine west = new Engine(rig, 1, "ledger", "west-a");
		Plain.attach(west);
		Plain.attach(new Engine(rig, 2, "ledger", "south-a"));
		Scene.begin(rig);
		Engine.thread("traffic", () -> traffic(rig));
		long late = 0;
		if (!rig.order("POST", ORDER, "", 0, 8_000)) {
			return 2;
		}
		for (int round = 1; round <= ROUNDS && late == 0; round++) {
			Rig.pause(CONTACT_MILLIS);
			late = endAndRepeatEvacuation(rig, west, trouble);
			if (late < 0) {
				return 2;
			}
			String outcome = "round " + round + ": " + late + " requests reached the engine in west-a later than "
					+ "evacuate-ms after its evacuation was acknowledged, all processes in touch";
			rig.note(outcome);
			System.out.println(outcome);
		}
		return (late > 0) ? 1 : 0;
	}

	/** Returns how many requests came too late, or -1 if the operator was slower than the freeze. */
	private static long endAndRepeatEvacuation(Rig rig, Engine west, boolean trouble) throws Exception {
		int leader = rig.leader();
		if (leader < 0) {
			return -1;
		}
		int frozen = (leader + 1) % 3;
		double wakes = rig.millis() + FREEZE_MILLIS;
		if (trouble) {
			rig.signal("core-" + frozen, "STOP");
			Engine.thread("wake", () -> {
				Rig.pause(Math.round(wakes - rig.millis()));
				wake(rig, "core-" + frozen);
			});
		}
		// no answer within a second: the operator closes the connection and moves on to another node
		boolean taken = rig.order("DELETE", ORDER, "", frozen, 8_000) && rig.order("POST", ORDER, "", leader, 8_000);
		double acknowledged = rig.millis();
		if (!taken || (trouble && acknowledged > wakes)) {
			rig.note("the operator was too slow for this case");
			return -1;
		}
		double judgedFrom = Math.max(acknowledged + EVACUATE_MILLIS, wakes + CONTACT_MILLIS);
		Rig.pause(Math.round(judgedFrom + JUDGED_MILLIS - rig.millis()));
		return west.arrivals.stream().filter((request) -> request.arrivedMillis > judgedFrom).count();
	}

	private static void wake(Rig rig, String name) {
		try {
			rig.signal(name, "CONT");
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void traffic(Rig rig) {
		ExecutorService clients = Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		});
		AtomicInteger number = new AtomicInteger();
		while (true) {
			clients.execute(() -> {
				String id = "c-" + number.incrementAndGet();
				String ending;
				try {
					ending = Integer.toString(Scene.request(rig, 1, "GET", "/read/a", id, "", 4_000).status);
				}
				catch (Exception ex) {
					ending = "none";
				}
				rig.note("client: GET /read/a " + id + " at edge-1 -> " + ending);
			});
			Rig.pause(100);
		}
	}

}
