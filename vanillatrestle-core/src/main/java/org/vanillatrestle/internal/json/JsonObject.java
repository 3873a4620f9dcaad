package org.vanillatrestle.internal.json;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.vanillatrestle.InvalidDocumentException;
import org.vanillatrestle.Names;

/**
 * Strict reader of the fields of one JSON object: a field that is missing, unknown or of
 * the wrong type is reported as an error with its path.
 * <p>
 * The error messages are stored in audit records, so their texts must not be changed.
 * <p>
 * Call {@link #rejectUnknownFields()} after reading the last field. Not thread safe.
 */
public final class JsonObject {

	private static final JsonMapper MAPPER = JsonMapper
		.builder(new JsonFactoryBuilder()
			.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(32).build())
			.build())
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.disable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.build();

	private final JsonNode node;

	private final String path;

	private final Set<String> requestedFields = new HashSet<>();

	private JsonObject(JsonNode node, String path) {
		this.node = node;
		this.path = path;
	}

	/**
	 * Parses a document whose top-level value is an object.
	 * @param text the document
	 * @return the reader of the top-level object
	 * @throws InvalidDocumentException if the text is not valid JSON or its top-level
	 * value is not an object
	 */
	public static JsonObject parse(String text) throws InvalidDocumentException {
		try {
			return of(MAPPER.readTree(text), "$");
		}
		catch (JsonProcessingException ex) {
			String where = (ex.getLocation() != null)
					? " at line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr() : "";
			throw new InvalidDocumentException("$", "not valid JSON" + where + ": " + ex.getOriginalMessage());
		}
	}

	private static JsonObject of(JsonNode node, String path) throws InvalidDocumentException {
		if (node == null || !node.isObject()) {
			throw new InvalidDocumentException(path, "an object is expected, for example {\"name\": …}");
		}
		return new JsonObject(node, path);
	}

	/**
	 * Returns the path of this object within its document.
	 * @return the path, {@code $} for the top-level object
	 */
	public String path() {
		return this.path;
	}

	/**
	 * Returns the path of one of this object's fields.
	 * @param field the field's name
	 * @return the path
	 */
	public String path(String field) {
		return this.path + "." + field;
	}

	/**
	 * Tells whether a field is present and not {@code null}.
	 * @param field the field's name
	 * @return whether the field has a value
	 */
	public boolean has(String field) {
		this.requestedFields.add(field);
		return this.node.hasNonNull(field);
	}

	/**
	 * Reads a string.
	 * @param field the field's name
	 * @return the string
	 * @throws InvalidDocumentException if the field is missing or not a string
	 */
	public String string(String field) throws InvalidDocumentException {
		JsonNode value = required(field);
		if (!value.isTextual()) {
			throw new InvalidDocumentException(path(field), "a text in quotes is expected");
		}
		return value.textValue();
	}

	/**
	 * Reads a string or returns a default.
	 * @param field the field's name
	 * @param defaultValue the value to return if the field is absent
	 * @return the string
	 * @throws InvalidDocumentException if the field is present and not a string
	 */
	public String string(String field, String defaultValue) throws InvalidDocumentException {
		return has(field) ? string(field) : defaultValue;
	}

	/**
	 * Reads a name that matches {@link Names#PATTERN}.
	 * @param field the field's name
	 * @return the name
	 * @throws InvalidDocumentException if the field is missing or not a valid name
	 */
	public String name(String field) throws InvalidDocumentException {
		return checkName(string(field), path(field));
	}

	/**
	 * Reads an integer within bounds.
	 * @param field the field's name
	 * @param min the smallest accepted value
	 * @param max the largest accepted value
	 * @return the number
	 * @throws InvalidDocumentException if the field is missing, not an integer or out of
	 * bounds
	 */
	public long integer(String field, long min, long max) throws InvalidDocumentException {
		JsonNode value = required(field);
		if (!value.isIntegralNumber() || !value.canConvertToLong()) {
			throw new InvalidDocumentException(path(field), "a whole number without quotes or unit is expected");
		}
		long number = value.longValue();
		if (number < min || number > max) {
			throw new InvalidDocumentException(path(field),
					"must lie between " + min + " and " + max + ", but is " + number);
		}
		return number;
	}

	/**
	 * Reads an integer within bounds or returns a default.
	 * @param field the field's name
	 * @param min the smallest accepted value
	 * @param max the largest accepted value
	 * @param defaultValue the value to return if the field is absent
	 * @return the number
	 * @throws InvalidDocumentException if the field is not an integer or out of bounds
	 */
	public long integer(String field, long min, long max, long defaultValue) throws InvalidDocumentException {
		return has(field) ? integer(field, min, max) : defaultValue;
	}

	/**
	 * Reads a non-negative number or returns a default.
	 * @param field the field's name
	 * @param defaultValue the value to return if the field is absent
	 * @return the number
	 * @throws InvalidDocumentException if the field is not a finite number or is negative
	 */
	public double nonNegative(String field, double defaultValue) throws InvalidDocumentException {
		if (!has(field)) {
			return defaultValue;
		}
		JsonNode value = this.node.get(field);
		if (!value.isNumber() || !(value.doubleValue() >= 0) || Double.isInfinite(value.doubleValue())) {
			throw new InvalidDocumentException(path(field), "a number of at least 0 is expected");
		}
		return value.doubleValue();
	}

	/**
	 * Reads a boolean or returns a default.
	 * @param field the field's name
	 * @param defaultValue the value to return if the field is absent
	 * @return the value
	 * @throws InvalidDocumentException if the field is neither {@code true} nor
	 * {@code false}
	 */
	public boolean bool(String field, boolean defaultValue) throws InvalidDocumentException {
		if (!has(field)) {
			return defaultValue;
		}
		JsonNode value = this.node.get(field);
		if (!value.isBoolean()) {
			throw new InvalidDocumentException(path(field), "true or false is expected");
		}
		return value.booleanValue();
	}

	/**
	 * Reads an enum constant.
	 * @param <E> the enum
	 * @param field the field's name
	 * @param type the enum's class
	 * @return the constant
	 * @throws InvalidDocumentException if the field is missing or does not name a
	 * constant
	 */
	public <E extends Enum<E>> E constant(String field, Class<E> type) throws InvalidDocumentException {
		return toConstant(string(field), path(field), type);
	}

	/**
	 * Reads an enum constant or returns a default.
	 * @param <E> the enum
	 * @param field the field's name
	 * @param defaultValue the value to return if the field is absent
	 * @return the constant
	 * @throws InvalidDocumentException if the field does not name a constant
	 */
	public <E extends Enum<E>> E constant(String field, E defaultValue) throws InvalidDocumentException {
		return has(field) ? constant(field, defaultValue.getDeclaringClass()) : defaultValue;
	}

	/**
	 * Reads a nested object.
	 * @param field the field's name
	 * @return the reader of the object
	 * @throws InvalidDocumentException if the field is missing or not an object
	 */
	public JsonObject object(String field) throws InvalidDocumentException {
		return of(required(field), path(field));
	}

	/**
	 * Reads a list of objects; an absent field is treated as an empty list.
	 * @param field the field's name
	 * @return the readers of the objects
	 * @throws InvalidDocumentException if the field is not a list of objects
	 */
	public List<JsonObject> objects(String field) throws InvalidDocumentException {
		List<JsonObject> result = new ArrayList<>();
		List<JsonNode> items = items(field);
		for (int i = 0; i < items.size(); i++) {
			result.add(of(items.get(i), path(field) + "[" + i + "]"));
		}
		return result;
	}

	/**
	 * Reads a list of strings; an absent field is treated as an empty list.
	 * @param field the field's name
	 * @return the strings
	 * @throws InvalidDocumentException if the field is not a list of strings
	 */
	public List<String> strings(String field) throws InvalidDocumentException {
		List<String> result = new ArrayList<>();
		List<JsonNode> items = items(field);
		for (int i = 0; i < items.size(); i++) {
			if (!items.get(i).isTextual()) {
				throw new InvalidDocumentException(path(field) + "[" + i + "]", "a text in quotes is expected");
			}
			result.add(items.get(i).textValue());
		}
		return result;
	}

	/**
	 * Reads a list of distinct names that match {@link Names#PATTERN}.
	 * @param field the field's name
	 * @return the names
	 * @throws InvalidDocumentException if the field is not a list of distinct names
	 */
	public List<String> names(String field) throws InvalidDocumentException {
		List<String> result = strings(field);
		Set<String> distinct = new HashSet<>();
		for (int i = 0; i < result.size(); i++) {
			String itemPath = path(field) + "[" + i + "]";
			checkName(result.get(i), itemPath);
			if (!distinct.add(result.get(i))) {
				throw new InvalidDocumentException(itemPath, "'" + result.get(i) + "' is listed twice");
			}
		}
		return result;
	}

	/**
	 * Finishes reading this object and rejects unknown fields.
	 * @throws InvalidDocumentException if the object has a field that was not read
	 */
	public void rejectUnknownFields() throws InvalidDocumentException {
		for (String field : (Iterable<String>) this.node::fieldNames) {
			if (!this.requestedFields.contains(field)) {
				throw new InvalidDocumentException(path(field), "unknown field; known here: "
						+ String.join(", ", this.requestedFields.stream().sorted().toList()));
			}
		}
	}

	private JsonNode required(String field) throws InvalidDocumentException {
		if (!has(field)) {
			throw new InvalidDocumentException(path(field), "this field is missing");
		}
		return this.node.get(field);
	}

	private List<JsonNode> items(String field) throws InvalidDocumentException {
		if (!has(field)) {
			return List.of();
		}
		JsonNode value = this.node.get(field);
		if (!value.isArray()) {
			throw new InvalidDocumentException(path(field), "a list is expected, for example [\"a\", \"b\"]");
		}
		List<JsonNode> result = new ArrayList<>();
		value.forEach(result::add);
		return result;
	}

	private static String checkName(String value, String path) throws InvalidDocumentException {
		if (!Names.isValid(value)) {
			throw new InvalidDocumentException(path,
					"'" + value + "' is not a valid name; a name has 1 to 63 letters, digits, dots, underscores"
							+ " or hyphens and begins with a letter or digit");
		}
		return value;
	}

	private static <E extends Enum<E>> E toConstant(String value, String path, Class<E> type)
			throws InvalidDocumentException {
		for (E constant : type.getEnumConstants()) {
			if (constant.name().equals(value)) {
				return constant;
			}
		}
		List<String> known = new ArrayList<>();
		for (E constant : type.getEnumConstants()) {
			known.add(constant.name());
		}
		throw new InvalidDocumentException(path,
				String.format(Locale.ROOT, "'%s' is not one of %s", value, String.join(", ", known)));
	}

}
