import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * A proxy in front of one address that can be cut off for a while, like a path through a partition. While it is cut,
 * nothing passes. Afterwards passes what its sender has sent on a connection that stood before, with the delays at
 * which TCP sends it again; a connection that is opened meanwhile comes about only if its caller still waits for it.
 */
final class Cut {

	private static final double[] DATA_SENT_AGAIN_MILLIS = { 200, 600, 1_400, 3_000, 6_200, 12_600 };

	private static final double[] CONNECT_SENT_AGAIN_MILLIS = { 1_000, 3_000, 7_000 };

	private final Rig rig;

	private final String target;

	private final ServerSocket server;

	private volatile double cutMillis = Double.MAX_VALUE;

	private volatile double healedMillis = Double.MAX_VALUE;

	Cut(Rig rig, String host, String target) throws IOException {
		this.rig = rig;
		this.target = target;
		this.server = new ServerSocket(0, 50, InetAddress.getByName(host));
		Engine.thread("cut", this::accept);
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	void cutFor(long millis) {
		this.healedMillis = this.rig.millis() + millis;
		this.cutMillis = this.rig.millis();
	}

	private boolean isCut() {
		double now = this.rig.millis();
		return now >= this.cutMillis && now < this.healedMillis;
	}

	private double arrives(double sentMillis, double[] again) {
		for (double delay : again) {
			if (sentMillis + delay >= this.healedMillis) {
				return sentMillis + delay;
			}
		}
		return Double.MAX_VALUE;
	}

	private void accept() {
		while (true) {
			try {
				Socket caller = this.server.accept();
				Engine.thread("cut-connection", () -> join(caller));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void join(Socket caller) {
		try (caller; Socket called = new Socket()) {
			InputStream input = caller.getInputStream();
			byte[] buffer = new byte[65_536];
			int first = 0;
			if (isCut()) {
				double opens = arrives(this.rig.millis(), CONNECT_SENT_AGAIN_MILLIS);
				Rig.pause(Math.round(opens - this.rig.millis()));
				first = input.read(buffer);
				if (first < 0 || hasClosed(caller)) {
					return;
				}
			}
			String[] parts = this.target.split(":");
			called.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1_000);
			Engine.thread("cut-back", () -> back(called, caller));
			OutputStream output = called.getOutputStream();
			output.write(buffer, 0, first);
			for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
				if (isCut()) {
					double arrival = arrives(this.rig.millis(), DATA_SENT_AGAIN_MILLIS);
					Rig.pause(Math.round(arrival - this.rig.millis()));
				}
				output.write(buffer, 0, length);
			}
			called.shutdownOutput();
			Rig.pause(500);
		}
		catch (IOException ex) {
			// one side has gone
		}
	}

	private static boolean hasClosed(Socket caller) throws IOException {
		caller.setSoTimeout(20);
		try {
			return caller.getInputStream().read() < 0;
		}
		catch (SocketTimeoutException ex) {
			caller.setSoTimeout(0);
			return false;
		}
	}

	private void back(Socket called, Socket caller) {
		try {
			byte[] buffer = new byte[65_536];
			InputStream input = called.getInputStream();
			for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
				while (isCut()) {
					Rig.pause(10);
				}
				caller.getOutputStream().write(buffer, 0, length);
			}
		}
		catch (IOException ex) {
			// the caller has gone
		}
	}

}
