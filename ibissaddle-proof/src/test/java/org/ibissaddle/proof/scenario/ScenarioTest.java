package org.ibissaddle.proof.scenario;

import org.junit.platform.suite.api.IncludeEngines;
import org.junit.platform.suite.api.SelectClasspathResource;
import org.junit.platform.suite.api.Suite;

/** Runs all Cucumber scenarios. */
@Suite
@IncludeEngines("cucumber")
@SelectClasspathResource("features")
public class ScenarioTest {}
