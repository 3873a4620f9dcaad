package org.vanillatrestle.daemon.internal.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import org.vanillatrestle.DataCentreId;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.RegionId;
import org.vanillatrestle.VmId;
import org.vanillatrestle.internal.json.JsonObject;

/**
 * Reads settings from JSON and validates them completely before any socket is opened.
 * <p>
 * Stateless and thread safe. Relative paths are resolved against the settings file's
 * folder.
 */
public final class SettingsReader {

	private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

	private static final Set<String> LOG_LEVELS = Set.of("ERROR", "WARN", "INFO", "DEBUG", "TRACE");

	private static final long MAX_MILLIS = 24 * 60 * 60 * 1000L;

	private SettingsReader() {
	}

	/**
	 * Reads a settings file.
	 * @param file the settings file
	 * @return the settings
	 * @throws InvalidDocumentException if the file can't be read or is invalid
	 */
	public static Settings readFile(Path file) throws InvalidDocumentException {
		String json;
		try {
			json = Files.readString(file);
		}
		catch (IOException ex) {
			throw new InvalidDocumentException(file.toString(),
					"the settings file can't be read; check its path and permissions (" + ex + ")");
		}
		return read(json, file.toAbsolutePath().getParent());
	}

	/**
	 * Reads settings from a JSON document.
	 * @param json the JSON document
	 * @param folder the folder against which relative paths are resolved
	 * @return the settings
	 * @throws InvalidDocumentException if the document is invalid
	 */
	public static Settings read(String json, Path folder) throws InvalidDocumentException {
		JsonObject root = JsonObject.parse(json);
		VmId selfId = new VmId(root.name("vm"));
		List<VmSettings> vms = readVms(root);
		VmSettings self = vms.stream()
			.filter((vm) -> vm.id().equals(selfId))
			.findFirst()
			.orElseThrow(() -> new InvalidDocumentException(root.path("vm"),
					"'" + selfId + "' is not one of the VMs listed under vms"));
		Settings.Builder builder = Settings.builder(self, vms)
			.operators(readOperators(root))
			.targetSecretSha256(root.has("targetSecretSha256") ? readSha256(root, "targetSecretSha256") : null)
			.targetTtlMillis(root.integer("targetTtlMillis", 100, 5_000, 4_000))
			.shutdownGraceMillis(root.integer("shutdownGraceMillis", 0, MAX_MILLIS, 30_000))
			.transferPriceMicrosPerMegabyte(root.integer("transferPriceMicrosPerMegabyte", 0, Integer.MAX_VALUE, 0));
		builder.advertisePeerAddress(root.bool("advertisePeerAddress", true));
		readDataFolder(root, folder, self, builder);
		readHttpLimits(root, builder);
		readPeerTls(root, folder, builder);
		readLog(root, builder);
		root.rejectUnknownFields();
		return builder.build();
	}

	private static void readDataFolder(JsonObject root, Path folder, VmSettings self, Settings.Builder builder)
			throws InvalidDocumentException {
		if (root.has("dataFolder")) {
			builder.dataFolder(folder.resolve(root.string("dataFolder")).normalize());
			return;
		}
		for (Role role : self.roles()) {
			if (role.hasPersistentState()) {
				throw new InvalidDocumentException(root.path("dataFolder"),
						"the role " + role + " stores state on disk; specify a folder, for example \"data\"");
			}
		}
	}

	private static List<VmSettings> readVms(JsonObject root) throws InvalidDocumentException {
		List<VmSettings> vms = new ArrayList<>();
		Set<VmId> ids = new HashSet<>();
		Set<HostAndPort> addresses = new HashSet<>();
		Map<DataCentreId, RegionId> regions = new HashMap<>();
		for (JsonObject item : root.objects("vms")) {
			VmSettings vm = readVm(item);
			requireDistinct(ids.add(vm.id()), item.path("vm"), vm.id());
			requireDistinct(vm.httpAddress().port() == 0 || addresses.add(vm.httpAddress()), item.path("http"),
					vm.httpAddress());
			requireDistinct(vm.peerAddress().port() == 0 || addresses.add(vm.peerAddress()), item.path("peer"),
					vm.peerAddress());
			RegionId region = regions.putIfAbsent(vm.dataCentre(), vm.region());
			if (region != null && !region.equals(vm.region())) {
				throw new InvalidDocumentException(item.path("region"), "data centre '" + vm.dataCentre()
						+ "' is already assigned to region '" + region + "' by an earlier entry");
			}
			vms.add(vm);
		}
		requireOddControlCount(root, vms);
		return vms;
	}

	private static void requireOddControlCount(JsonObject root, List<VmSettings> vms) throws InvalidDocumentException {
		long controls = vms.stream().filter((vm) -> vm.hasRole(Role.CONTROL)).count();
		if (controls % 2 == 0 || controls > 9) {
			throw new InvalidDocumentException(root.path("vms"),
					"1, 3, 5, 7 or 9 VMs must have the role CONTROL, but " + controls + " have it");
		}
	}

	private static VmSettings readVm(JsonObject item) throws InvalidDocumentException {
		VmSettings vm = new VmSettings(new VmId(item.name("vm")), new RegionId(item.name("region")),
				new DataCentreId(item.name("dataCentre")), readRoles(item), readAddress(item, "http"),
				readAddress(item, "peer"));
		item.rejectUnknownFields();
		return vm;
	}

	private static Set<Role> readRoles(JsonObject item) throws InvalidDocumentException {
		EnumSet<Role> roles = EnumSet.noneOf(Role.class);
		for (String name : item.names("roles")) {
			try {
				roles.add(Role.valueOf(name));
			}
			catch (IllegalArgumentException ex) {
				throw new InvalidDocumentException(item.path("roles"),
						"'" + name + "' is not one of ENTRY, LEDGER, CONTROL");
			}
		}
		if (roles.isEmpty()) {
			throw new InvalidDocumentException(item.path("roles"), "at least one role is required");
		}
		return roles;
	}

	private static List<OperatorSettings> readOperators(JsonObject root) throws InvalidDocumentException {
		List<OperatorSettings> operators = new ArrayList<>();
		Set<String> names = new HashSet<>();
		for (JsonObject item : root.objects("operators")) {
			OperatorSettings operator = new OperatorSettings(item.name("name"), readSha256(item, "keySha256"));
			requireDistinct(names.add(operator.name()), item.path("name"), operator.name());
			item.rejectUnknownFields();
			operators.add(operator);
		}
		return operators;
	}

	private static void readHttpLimits(JsonObject root, Settings.Builder builder) throws InvalidDocumentException {
		if (!root.has("httpLimits")) {
			return;
		}
		JsonObject item = root.object("httpLimits");
		HttpLimits defaults = HttpLimits.DEFAULT;
		builder
			.httpLimits(new HttpLimits((int) item.integer("maxHeadBytes", 1024, 1024 * 1024, defaults.maxHeadBytes()),
					(int) item.integer("maxBodyBytes", 1024, 256 * 1024 * 1024, defaults.maxBodyBytes()),
					item.integer("maxBodiesBytes", 1024, 4L * 1024 * 1024 * 1024, defaults.maxBodiesBytes()),
					item.integer("bodyTimeoutMillis", 10, MAX_MILLIS, defaults.bodyTimeoutMillis()),
					item.integer("idleTimeoutMillis", 10, MAX_MILLIS, defaults.idleTimeoutMillis()),
					(int) item.integer("maxConnections", 1, 1_000_000, defaults.maxConnections())));
		item.rejectUnknownFields();
	}

	private static void readPeerTls(JsonObject root, Path folder, Settings.Builder builder)
			throws InvalidDocumentException {
		if (!root.has("peerTls")) {
			return;
		}
		JsonObject item = root.object("peerTls");
		builder.peerTls(new TlsFiles(existingFile(item, "certificateFile", folder),
				existingFile(item, "keyFile", folder), existingFile(item, "trustFile", folder)));
		item.rejectUnknownFields();
	}

	private static Path existingFile(JsonObject item, String field, Path folder) throws InvalidDocumentException {
		Path file = folder.resolve(item.string(field)).normalize();
		if (!Files.isReadable(file)) {
			throw new InvalidDocumentException(item.path(field),
					"the file '" + file + "' can't be read; check its path and permissions");
		}
		return file;
	}

	private static void readLog(JsonObject root, Settings.Builder builder) throws InvalidDocumentException {
		if (!root.has("log")) {
			return;
		}
		JsonObject item = root.object("log");
		String level = item.string("level", "INFO");
		if (!LOG_LEVELS.contains(level)) {
			throw new InvalidDocumentException(item.path("level"),
					"'" + level + "' is not one of ERROR, WARN, INFO, DEBUG, TRACE");
		}
		builder.logLevel(level).logFormat(item.constant("format", LogFormat.TEXT));
		item.rejectUnknownFields();
	}

	private static HostAndPort readAddress(JsonObject item, String field) throws InvalidDocumentException {
		return HostAndPort.parse(item.string(field), item.path(field));
	}

	private static String readSha256(JsonObject item, String field) throws InvalidDocumentException {
		String value = item.string(field);
		if (!SHA_256.matcher(value).matches()) {
			throw new InvalidDocumentException(item.path(field),
					"64 lower-case hexadecimal digits are expected, as printed by 'vanillatrestle keys hash'");
		}
		return value;
	}

	private static void requireDistinct(boolean distinct, String path, Object value) throws InvalidDocumentException {
		if (!distinct) {
			throw new InvalidDocumentException(path, "'" + value + "' is given twice");
		}
	}

}
