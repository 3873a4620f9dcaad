import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers run part of the requests, fail, and answer 503 without the header that says "not run". */
final class RanAndRefusedCase {

	private static final int REQUESTS = 200;

	private static final int FAILED_PERCENT = 40;

	private RanAndRefusedCase() {
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
		List<Engine> engines = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			Engine engine = new Engine(rig, i, "ledger", Rig.REGIONS.get(i) + "-a");
			Plain.attach(engine);
			engines.add(engine);
		}
		Scene.begin(rig);
		Rig.pause(1_500);
		if (trouble) {
			rig.note("the engine in east-a fails " + FAILED_PERCENT + " in 100 of its requests");
			Engine east = engines.get(0);
			Engine.Behaviour sound = east.behaviour;
			AtomicInteger count = new AtomicInteger();
			east.behaviour = (request) -> {
				if (count.getAndAdd(FAILED_PERCENT) % 100 >= FAILED_PERCENT) {
					return sound.serve(request);
				}
				request.ran();
				Rig.pause(Math.round(Plain.WORK_MILLIS));
				request.answer("503 Service Unavailable", "", "failed " + request.id());
				return true;
			};
		}
		int broken = 0;
		int served = 0;
		for (int i = 0; i < REQUESTS; i++) {
			String id = "c-" + i;
			int status = Scene.request(rig, 0, "POST", "/pay/a", id, "body", 4_000).status;
			long runs = engines.stream()
				.flatMap((engine) -> List.copyOf(engine.runs).stream())
				.filter((request) -> id.equals(request.id()))
				.count();
			rig.note("client: POST /pay/a " + id + " -> " + status + ", runs " + runs);
			served += (status == 200) ? 1 : 0;
			broken += ((status == 503 || status == 429) && runs > 0) ? 1 : 0;
		}
		String outcome = broken + " of " + REQUESTS + " requests were answered 503 and have run, " + served
				+ " were served";
		rig.note(outcome);
		System.out.println(outcome);
		return (broken > 0) ? 1 : (served > 0) ? 0 : 2;
	}

}
