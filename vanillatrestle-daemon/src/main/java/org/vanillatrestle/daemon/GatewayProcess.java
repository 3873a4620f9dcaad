package org.vanillatrestle.daemon;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.daemon.internal.logging.BoundedHandler;
import org.vanillatrestle.daemon.internal.logging.EventKind;
import org.vanillatrestle.daemon.internal.logging.EventLog;
import org.vanillatrestle.daemon.internal.logging.LoggingSetup;
import org.vanillatrestle.daemon.protocol.GatewayProtocol;
import sun.misc.Signal;

/**
 * Runs a VM of a declared deployment as a process. Stops it gracefully on SIGTERM, and
 * reloads its settings on SIGHUP and when the settings file has changed.
 * <p>
 * Signals that arrive during the start take effect after it. Thread safe.
 */
public final class GatewayProcess {

	private static final long FILE_CHECK_PERIOD_MILLIS = 1_000;

	private final Path file;

	private final SettingsFormat format;

	private byte[] lastRead;

	private GatewayNode node;

	private GatewayProcess(Path file, SettingsFormat format) {
		this.file = file;
		this.format = format;
	}

	/**
	 * Runs a VM until the process is stopped.
	 * @param file the settings file
	 * @param format reads the settings
	 * @param protocol the platform's interfaces
	 * @param err the stream to which a failure to start is written
	 * @return the exit code
	 */
	public static int run(Path file, SettingsFormat format, GatewayProtocol protocol, PrintStream err) {
		GatewayProcess process = new GatewayProcess(file, format);
		// without a handler, a SIGHUP during the start ends the process
		Signal.handle(new Signal("HUP"), (signal) -> process.reload());
		BoundedHandler log = LoggingSetup.applyStructured();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> process.stop(log), "vanillatrestle-shutdown"));
		try {
			process.open(protocol);
			process.watch();
			return 0;
		}
		catch (IOException | InvalidDocumentException ex) {
			err.println("The VM can't start. " + ex.getMessage());
			return 2;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return 0;
		}
	}

	/**
	 * Starts a VM.
	 * @param file the settings file
	 * @param format reads the settings
	 * @param protocol the platform's interfaces
	 * @return the running VM
	 * @throws IOException if the file can't be read, an address is in use or the data
	 * folder can't be opened
	 * @throws InvalidDocumentException if the settings violate a rule
	 */
	public static GatewayProcess start(Path file, SettingsFormat format, GatewayProtocol protocol)
			throws IOException, InvalidDocumentException {
		GatewayProcess process = new GatewayProcess(file, format);
		process.open(protocol);
		return process;
	}

	private synchronized void open(GatewayProtocol protocol) throws IOException, InvalidDocumentException {
		this.node = GatewayNode.start(readChangedSettings().orElseThrow(), protocol);
	}

	/**
	 * Returns the VM.
	 * @return the VM
	 */
	public GatewayNode node() {
		return this.node;
	}

	private synchronized void stop(BoundedHandler log) {
		if (this.node == null) {
			return;
		}
		this.node.close();
		log.close();
		Runtime.getRuntime().halt(0);
	}

	// parses the file only if its bytes have changed, since it is checked every second
	private Optional<GatewaySettings> readChangedSettings() throws IOException, InvalidDocumentException {
		byte[] current = Files.readAllBytes(this.file);
		if (Arrays.equals(current, this.lastRead)) {
			return Optional.empty();
		}
		this.lastRead = current;
		return Optional.of(this.format.read(current));
	}

	private void watch() throws InterruptedException {
		while (true) {
			TimeUnit.MILLISECONDS.sleep(FILE_CHECK_PERIOD_MILLIS);
			reload();
		}
	}

	synchronized void reload() {
		if (this.node == null) {
			return;
		}
		try {
			readChangedSettings().ifPresent(this.node::reload);
		}
		catch (IOException | InvalidDocumentException ex) {
			EventLog.write(EventKind.RELOADED, "failure", ex.getMessage());
		}
	}

	/**
	 * Parses the settings of a VM.
	 */
	public interface SettingsFormat {

		/**
		 * Parses settings.
		 * @param bytes the file's bytes
		 * @return the settings
		 * @throws InvalidDocumentException if the settings violate a rule
		 */
		GatewaySettings read(byte[] bytes) throws InvalidDocumentException;

	}

}
