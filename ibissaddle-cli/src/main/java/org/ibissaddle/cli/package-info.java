/** The command line. Start with {@link org.ibissaddle.cli.Main}. */
package org.ibissaddle.cli;
