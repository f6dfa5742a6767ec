package org.ibissaddle.internal.note;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.ibissaddle.id.InvalidIdentifierException;
import org.ibissaddle.note.NoteFault;

/** Reads the values of one section and collects validation errors. An empty value is treated as missing. */
final class FieldReader {
    private final Section section;
    private final List<NoteFault> faults;
    private final Set<String> knownKeys = new HashSet<>();

    FieldReader(Section section, List<NoteFault> faults) {
        this.section = section;
        this.faults = faults;
    }

    Optional<String> optionalText(String key) {
        knownKeys.add(key);
        String value = section.values().getOrDefault(key, "");
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }

    String requiredText(String key) {
        Optional<String> value = optionalText(key);
        if (value.isEmpty()) {
            faults.add(new NoteFault.MissingKey(section.title(), key));
        }
        return value.orElse("");
    }

    <T> Optional<T> optionalName(String key, Function<String, T> parser) {
        Optional<String> value = optionalText(key);
        return value.isEmpty() ? Optional.empty() : parse(key, value.get(), parser);
    }

    <T> Optional<T> requiredName(String key, Function<String, T> parser) {
        String value = requiredText(key);
        return value.isEmpty() ? Optional.empty() : parse(key, value, parser);
    }

    <T> Set<T> nameSet(String key, Function<String, T> parser) {
        Set<T> names = new TreeSet<>();
        for (String name : optionalText(key).orElse("").split(",", -1)) {
            if (!name.isBlank()) {
                parse(key, name.strip(), parser).ifPresent(names::add);
            }
        }
        return names;
    }

    double optionalNumber(String key, double min, double max, double defaultValue) {
        Optional<String> value = optionalText(key);
        return value.isEmpty() ? defaultValue : parseNumber(key, value.get(), min, max);
    }

    double requiredNumber(String key, double min, double max) {
        String value = requiredText(key);
        return value.isEmpty() ? min : parseNumber(key, value, min, max);
    }

    boolean optionalBoolean(String key, boolean defaultValue) {
        Optional<String> value = optionalText(key);
        if (value.isEmpty()) {
            return defaultValue;
        }
        if (!value.get().equals("true") && !value.get().equals("false")) {
            reportInvalidValue(key, value.get(), "true or false");
        }
        return value.get().equals("true");
    }

    void reportInvalidValue(String key, String value, String expected) {
        faults.add(new NoteFault.InvalidValue(section.title(), key, value, expected));
    }

    void reportUndeclaredName(String key, Object name) {
        faults.add(new NoteFault.UndeclaredName(section.title(), key, name.toString()));
    }

    void reportContradiction(String reason) {
        faults.add(new NoteFault.Contradiction(section.title(), reason));
    }

    void reportUnknownKeys() {
        for (String key : section.values().keySet()) {
            if (!knownKeys.contains(key)) {
                faults.add(new NoteFault.UnknownKey(section.title(), key));
            }
        }
    }

    private <T> Optional<T> parse(String key, String value, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(value));
        } catch (InvalidIdentifierException e) {
            reportInvalidValue(key, value, "a valid name");
            return Optional.empty();
        }
    }

    private double parseNumber(String key, String value, double min, double max) {
        try {
            double number = Double.parseDouble(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            reportInvalidValue(key, value, "a number");
            return min;
        }
        reportInvalidValue(key, value, "a number from " + min + " to " + max);
        return min;
    }
}
