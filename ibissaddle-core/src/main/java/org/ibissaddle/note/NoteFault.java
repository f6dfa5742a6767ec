package org.ibissaddle.note;

/** A validation error in a release note, with its location in the text. */
public sealed interface NoteFault {
    /**
     * Describes the error in one line for operators.
     *
     * @return the description, including the section and key where known
     */
    String message();

    /** The text is not valid INI or exceeds the maximum length. */
    record Unreadable(String reason) implements NoteFault {
        @Override
        public String message() {
            return "the text cannot be parsed: " + reason;
        }
    }

    /** A key appears before the first section. */
    record KeyOutsideSection(String key) implements NoteFault {
        @Override
        public String message() {
            return "key \"" + key + "\" is outside of any section";
        }
    }

    /** The section kind is unknown. */
    record UnknownSection(String section) implements NoteFault {
        @Override
        public String message() {
            return "section [" + section + "] has an unknown kind";
        }
    }

    /** A required section is missing. */
    record MissingSection(String section) implements NoteFault {
        @Override
        public String message() {
            return "section [" + section + "] is missing";
        }
    }

    /** The key is unknown in this section. */
    record UnknownKey(String section, String key) implements NoteFault {
        @Override
        public String message() {
            return "key \"" + key + "\" is unknown in section [" + section + "]";
        }
    }

    /** A required key is missing in the section. */
    record MissingKey(String section, String key) implements NoteFault {
        @Override
        public String message() {
            return "key \"" + key + "\" is missing in section [" + section + "]";
        }
    }

    /** A key appears twice in the section, or the section appears twice in the text. */
    record DuplicateKey(String section, String key) implements NoteFault {
        @Override
        public String message() {
            return "key \"" + key + "\" is defined twice in section [" + section + "]";
        }
    }

    /** A value has the wrong format or is out of range. */
    record InvalidValue(String section, String key, String value, String expected) implements NoteFault {
        @Override
        public String message() {
            return "value \"" + value + "\" of key \"" + key + "\" in section [" + section + "] is not " + expected;
        }
    }

    /** A value references a name that the note does not declare. */
    record UndeclaredName(String section, String key, String name) implements NoteFault {
        @Override
        public String message() {
            return "\"" + name + "\", referenced by key \"" + key + "\" in section [" + section + "], is not declared";
        }
    }

    /** A section is inconsistent in itself or with the rest of the note. */
    record Contradiction(String section, String reason) implements NoteFault {
        @Override
        public String message() {
            return "section [" + section + "] is inconsistent: " + reason;
        }
    }

    /** The base note that the note refers to is not available. */
    record MissingBase(long number) implements NoteFault {
        @Override
        public String message() {
            return "base note " + number + " is not available";
        }
    }

    /** A note without a base uses add, change or withdraw, or a note with a base has a section without them. */
    record MixedForms(String section) implements NoteFault {
        @Override
        public String message() {
            return "section [" + section
                    + "] is not allowed: a note with a base must use add, change or withdraw in every section, and a note without a base must not use them";
        }
    }

    /** An added section is already declared in the base note. */
    record AlreadyDeclared(String section) implements NoteFault {
        @Override
        public String message() {
            return "[" + section + "] is added but is already declared in the base note";
        }
    }

    /** A changed or withdrawn section is not declared in the base note. */
    record NotDeclared(String section) implements NoteFault {
        @Override
        public String message() {
            return "[" + section + "] is changed or withdrawn but is not declared in the base note";
        }
    }

    /** A part of a large note is missing or does not match its digest in the index. */
    record PartMismatch(String part, String reason) implements NoteFault {
        @Override
        public String message() {
            return "part \"" + part + "\" " + reason;
        }
    }
}
