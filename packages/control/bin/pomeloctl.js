#!/usr/bin/env node
require('../dist/main.js');
