package org.ibissaddle.id;

/**
 * A version of a model, written {@code model@version}.
 *
 * @param model name of the model
 * @param version name of the version
 */
public record ModelId(String model, String version) implements Comparable<ModelId> {
    /** Checks both names. */
    public ModelId {
        Names.require("model", model);
        Names.require("model version", version);
    }

    /**
     * Reads {@code model@version}.
     *
     * @param text the text to read
     * @return the model version that it names
     * @throws InvalidNameException when the text is not of that form
     */
    public static ModelId parse(String text) {
        int at = text.indexOf('@');
        if (at < 0) {
            throw new InvalidNameException("model version", text);
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
