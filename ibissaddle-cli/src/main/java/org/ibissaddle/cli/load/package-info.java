/** Open-loop load: requests start when the plan says, however late earlier answers are. */
package org.ibissaddle.cli.load;
