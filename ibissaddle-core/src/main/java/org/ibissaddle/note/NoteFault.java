package org.ibissaddle.note;

/** A reason for which a release note is refused. Each names the place in the text. */
public sealed interface NoteFault {
    /**
     * Describes the fault for operators.
     *
     * @return one line that names the section and key
     */
    String message();

    /** The text is not INI, or is too large. */
    record Unreadable(String reason) implements NoteFault {
        @Override
        public String message() {
            return "the text cannot be read: " + reason;
        }
    }

    /** A key stands before the first section. */
    record KeyOutsideSection(String key) implements NoteFault {
        @Override
        public String message() {
            return "key \"" + key + "\" stands outside of any section";
        }
    }

    /** The kind of the section is not known. */
    record UnknownSection(String section) implements NoteFault {
        @Override
        public String message() {
            return "section [" + section + "] is of no known kind";
        }
    }

    /** A section that every note needs is absent. */
    record MissingSection(String section) implements NoteFault {
        @Override
        public String message() {
            return "section [" + section + "] is missing";
        }
    }

    /** The section has no such key. */
    record UnknownKey(String section, String key) implements NoteFault {
        @Override
        public String message() {
            return "key \"" + key + "\" is not known in section [" + section + "]";
        }
    }

    /** The section lacks a key that it needs. */
    record MissingKey(String section, String key) implements NoteFault {
        @Override
        public String message() {
            return "key \"" + key + "\" is missing in section [" + section + "]";
        }
    }

    /** The section has a key twice, or stands in the text twice. */
    record DuplicateKey(String section, String key) implements NoteFault {
        @Override
        public String message() {
            return "key \"" + key + "\" is given twice in section [" + section + "]";
        }
    }

    /** A value is not of the form or range that its key needs. */
    record InvalidValue(String section, String key, String value, String expected) implements NoteFault {
        @Override
        public String message() {
            return "value \"" + value + "\" of key \"" + key + "\" in section [" + section + "] is not " + expected;
        }
    }

    /** A value names something that the note does not declare. */
    record UndeclaredName(String section, String key, String name) implements NoteFault {
        @Override
        public String message() {
            return "\"" + name + "\", named by key \"" + key + "\" in section [" + section + "], is not declared";
        }
    }

    /** Two sections contradict each other. */
    record Contradiction(String section, String reason) implements NoteFault {
        @Override
        public String message() {
            return "section [" + section + "] contradicts the note: " + reason;
        }
    }

    /** The note changes a base that is not at hand. */
    record MissingBase(long number) implements NoteFault {
        @Override
        public String message() {
            return "base note " + number + " is not at hand";
        }
    }

    /** A whole note uses add, change or withdraw, or a note with a base declares without them. */
    record MixedForms(String section) implements NoteFault {
        @Override
        public String message() {
            return "section [" + section
                    + "] does not fit: a note with a base uses only add, change and withdraw, a note without one never does";
        }
    }

    /** Something is added that the base declares already. */
    record AlreadyDeclared(String section) implements NoteFault {
        @Override
        public String message() {
            return "[" + section + "] is added, but the base declares it already";
        }
    }

    /** Something is changed or withdrawn that the base does not declare. */
    record NotDeclared(String section) implements NoteFault {
        @Override
        public String message() {
            return "[" + section + "] is changed or withdrawn, but the base does not declare it";
        }
    }

    /** A part of a large note is absent or not the one that the index names. */
    record PartMismatch(String part, String reason) implements NoteFault {
        @Override
        public String message() {
            return "part \"" + part + "\" " + reason;
        }
    }
}
