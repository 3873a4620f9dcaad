package org.vanillatrestle.bench.internal.deployment;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiFunction;
import java.util.function.Function;

import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.vanillatrestle.bench.internal.http.Responses;

/**
 * The VMs of a deployment and the settings file of each.
 * <p>
 * Immutable and thread safe.
 *
 * @param vms the VMs
 * @param operatorKey the key of the only operator
 * @param shutdownGraceMillis how long a VM that stops waits for requests in flight
 */
public record DeploymentPlan(List<VmPlan> vms, String operatorKey, long shutdownGraceMillis) {

	private static final int HTTP_PORT = 8080;

	private static final int PEER_PORT = 8090;

	private static final long GRACE_MILLIS = 30_000;

	private static final JsonMapper MAPPER = JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

	/**
	 * Copies the list.
	 */
	public DeploymentPlan {
		vms = List.copyOf(vms);
	}

	/**
	 * Plans a deployment with one data centre in each region, where the first VM of each
	 * has a disk and all roles.
	 * @param addressPrefix the first three numbers of the VMs' addresses, such as
	 * {@code 127.0.1}
	 * @param regions the regions
	 * @param vmsPerRegion how many VMs each of them has, in the same order
	 * @param operatorKey the operator's key
	 * @return the plan
	 */
	public static DeploymentPlan of(String addressPrefix, List<String> regions, List<Integer> vmsPerRegion,
			String operatorKey) {
		List<VmPlan> vms = new ArrayList<>();
		for (int i = 0; i < regions.size(); i++) {
			String region = regions.get(i);
			for (int number = 1; number <= vmsPerRegion.get(i); number++) {
				List<String> roles = (number == 1) ? List.of("ENTRY", "LEDGER", "CONTROL") : List.of("ENTRY");
				vms.add(new VmPlan(region + "-vm" + number, region, region + "-1", roles,
						addressPrefix + "." + (vms.size() + 1), HTTP_PORT, PEER_PORT));
			}
		}
		return new DeploymentPlan(vms, operatorKey, GRACE_MILLIS);
	}

	/**
	 * Returns three numbers of loopback addresses that hardly any other process uses.
	 * @return a prefix for {@link #of}
	 */
	public static String randomPrefix() {
		ThreadLocalRandom random = ThreadLocalRandom.current();
		return "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250);
	}

	/**
	 * Lists the VMs of a region.
	 * @param region the region
	 * @return its VMs
	 */
	public List<VmPlan> in(String region) {
		return this.vms.stream().filter((vm) -> vm.region().equals(region)).toList();
	}

	/**
	 * Lists where the VMs of a region serve.
	 * @param region the region
	 * @return each VM's {@code host:port}
	 */
	public List<String> entriesOf(String region) {
		return in(region).stream().map(VmPlan::http).toList();
	}

	/**
	 * Writes the settings file of each VM.
	 * @param folder the folder that gets the files
	 * @throws IOException if a file can't be written
	 */
	public void write(Path folder) throws IOException {
		write(folder, (fromRegion, vm) -> vm.peer(), true);
	}

	/**
	 * Writes the settings file of each VM.
	 * @param folder the folder that gets the files
	 * @param peerAddresses gives where the VMs of a region reach another VM; no other way
	 * is told
	 * @throws IOException if a file can't be written
	 */
	public void write(Path folder, BiFunction<String, VmPlan, String> peerAddresses) throws IOException {
		write(folder, peerAddresses, false);
	}

	private void write(Path folder, BiFunction<String, VmPlan, String> peerAddresses, boolean direct)
			throws IOException {
		Files.createDirectories(folder);
		for (VmPlan vm : this.vms) {
			ObjectNode settings = settings(vm, (other) -> peerAddresses.apply(vm.region(), other));
			settings.put("advertisePeerAddress", direct);
			Files.writeString(settingsFile(folder, vm), MAPPER.writeValueAsString(settings) + "\n");
		}
	}

	/**
	 * Returns a VM's settings file.
	 * @param folder the folder with the files
	 * @param vm the VM
	 * @return the file
	 */
	public static Path settingsFile(Path folder, VmPlan vm) {
		return folder.resolve(vm.vm() + ".json");
	}

	private ObjectNode settings(VmPlan self, Function<VmPlan, String> peerAddresses) {
		ObjectNode top = Responses.object().put("vm", self.vm());
		ArrayNode list = top.putArray("vms");
		this.vms.forEach((vm) -> list.add(vm.toJson(peerAddresses.apply(vm))));
		top.putArray("operators").addObject().put("name", "operator").put("keySha256", sha256(this.operatorKey));
		if (self.needsDisk()) {
			top.put("dataFolder", "data/" + self.vm());
		}
		return top.put("shutdownGraceMillis", this.shutdownGraceMillis);
	}

	/**
	 * Hashes a key as settings and contracts hold it.
	 * @param key the key
	 * @return the SHA-256 in lower-case hexadecimal digits
	 */
	public static String sha256(String key) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(key.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
