package org.ibissaddle.internal.note;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.ibissaddle.id.InvalidNameException;
import org.ibissaddle.note.NoteFault;

/** Reads the values of one section and collects what is wrong with them. An empty value counts as absent. */
final class Fields {
    private final Section section;
    private final List<NoteFault> faults;
    private final Set<String> known = new HashSet<>();

    Fields(Section section, List<NoteFault> faults) {
        this.section = section;
        this.faults = faults;
    }

    Optional<String> text(String key) {
        known.add(key);
        String value = section.values().getOrDefault(key, "");
        return value.isEmpty() ? Optional.empty() : Optional.of(value);
    }

    String required(String key) {
        Optional<String> value = text(key);
        if (value.isEmpty()) {
            faults.add(new NoteFault.MissingKey(section.title(), key));
        }
        return value.orElse("");
    }

    <T> Optional<T> named(String key, Function<String, T> parser) {
        Optional<String> value = text(key);
        return value.isEmpty() ? Optional.empty() : parse(key, value.get(), parser);
    }

    <T> Optional<T> requiredName(String key, Function<String, T> parser) {
        String value = required(key);
        return value.isEmpty() ? Optional.empty() : parse(key, value, parser);
    }

    <T> Set<T> names(String key, Function<String, T> parser) {
        Set<T> names = new TreeSet<>();
        for (String name : text(key).orElse("").split(",", -1)) {
            if (!name.isBlank()) {
                parse(key, name.strip(), parser).ifPresent(names::add);
            }
        }
        return names;
    }

    double number(String key, double min, double max, double otherwise) {
        Optional<String> value = text(key);
        return value.isEmpty() ? otherwise : parseNumber(key, value.get(), min, max);
    }

    double requiredNumber(String key, double min, double max) {
        String value = required(key);
        return value.isEmpty() ? min : parseNumber(key, value, min, max);
    }

    boolean flag(String key, boolean otherwise) {
        Optional<String> value = text(key);
        if (value.isEmpty()) {
            return otherwise;
        }
        if (!value.get().equals("true") && !value.get().equals("false")) {
            invalid(key, value.get(), "true or false");
        }
        return value.get().equals("true");
    }

    void invalid(String key, String value, String expected) {
        faults.add(new NoteFault.InvalidValue(section.title(), key, value, expected));
    }

    void undeclared(String key, Object name) {
        faults.add(new NoteFault.UndeclaredName(section.title(), key, name.toString()));
    }

    void contradiction(String reason) {
        faults.add(new NoteFault.Contradiction(section.title(), reason));
    }

    void rejectUnknownKeys() {
        for (String key : section.values().keySet()) {
            if (!known.contains(key)) {
                faults.add(new NoteFault.UnknownKey(section.title(), key));
            }
        }
    }

    private <T> Optional<T> parse(String key, String value, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(value));
        } catch (InvalidNameException e) {
            invalid(key, value, "a valid name");
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
            invalid(key, value, "a number");
            return min;
        }
        invalid(key, value, "a number from " + min + " to " + max);
        return min;
    }
}
