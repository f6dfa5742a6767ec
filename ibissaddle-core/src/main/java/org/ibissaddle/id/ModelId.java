package org.ibissaddle.id;

/**
 * Identifies a version of a model, written as {@code model@version}.
 *
 * @param model model name
 * @param version version name
 */
public record ModelId(String model, String version) implements Comparable<ModelId> {
    /** Validates both names. */
    public ModelId {
        Names.requireValid("model", model);
        Names.requireValid("model version", version);
    }

    /**
     * Parses text of the form {@code model@version}.
     *
     * @param text the text to parse
     * @return the model version
     * @throws InvalidIdentifierException if the text does not have that form
     */
    public static ModelId parse(String text) {
        int at = text.indexOf('@');
        if (at < 0) {
            throw new InvalidIdentifierException("model version", text);
        }
        return new ModelId(text.substring(0, at), text.substring(at + 1));
    }

    @Override
    public int compareTo(ModelId other) {
        int order = model.compareTo(other.model);
        return order != 0 ? order : version.compareTo(other.version);
    }

    @Override
    public String toString() {
        return model + "@" + version;
    }
}
