/** Command-line interface; the entry point is {@link org.ibissaddle.cli.Main}. */
package org.ibissaddle.cli;
